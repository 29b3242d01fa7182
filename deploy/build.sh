# Installs the two programs and their dependencies under target/, compiled to bytecode.
set -eu
DEPS=target/deps
LIBS="model events settings estimates jobs store scheduling runs lead intake wire serving"
if [ ! -f "$DEPS/.stamp" ] || [ constraints.txt -nt "$DEPS/.stamp" ]; then
    rm -rf "$DEPS"
    python3 -m pip install --quiet --disable-pip-version-check --target "$DEPS" \
        -r deploy/requirements.txt -c constraints.txt
    touch "$DEPS/.stamp"
fi
for lib in $LIBS; do
    rm -rf "$DEPS/papayaspar_$lib"
    cp -r "libs/$lib/src/papayaspar_$lib" "$DEPS/"
done
rm -rf "$DEPS/papayaspar_adapter"
cp -r platform/src/papayaspar_adapter "$DEPS/"
python3 -m compileall -q "$DEPS" || true
