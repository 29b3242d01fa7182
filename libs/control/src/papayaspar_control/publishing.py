"""Exactly-once publishing of rules, with the history checked before a retry."""

import anyio

from papayaspar_control import answers, client
from papayaspar_model import errors, identifiers
from papayaspar_rules import revisions

ATTEMPTS_MAX = 5
RETRY_INTERVAL_S = 0.5


async def publish(
    entry: client.Client, text: str, parent: int, author: str, publish_id: str = ""
) -> answers.Published:
    """Publish rules exactly once.

    After a lost response, the history is searched for the publish id; the publish is sent again,
    with the same id, only if the history does not contain it.

    :param entry: client of the entry.
    :param text: the rules.
    :param parent: number of the revision that they are based on.
    :param author: name of the publisher.
    :param publish_id: identifier of this publish; a new one is generated if it is empty.
    :return: the new revision.
    :raises RevisionConflictError: if another revision was accepted first.
    :raises InvalidRulesError: if the rules have faults.
    :raises OutcomeUnknownError: if the outcome of the publish can't be determined.
    """
    publish_id = publish_id or identifiers.new_id("pub")
    may_have_run = False
    for attempt in range(ATTEMPTS_MAX):
        if attempt:
            await anyio.sleep(RETRY_INTERVAL_S * attempt)
        child = await _find_child(entry, parent) if may_have_run else None
        if child is not None:
            return _resolve(child, publish_id)
        try:
            return await entry.publish_rules(text, parent, publish_id, author)
        except errors.RevisionConflictError:
            # After a lost response the accepted revision may be this publish; the history shows it.
            if not may_have_run:
                raise
        except errors.RulesError:
            raise
        except errors.PapayasparError as error:
            if error.ran is not errors.Ran.NO:
                may_have_run = True
                continue
            if not may_have_run:
                raise
    raise errors.OutcomeUnknownError(
        f"the outcome of publish {publish_id} is unknown; check the history before publishing again"
    )


async def _find_child(entry: client.Client, parent: int) -> revisions.HistoryEntry | None:
    try:
        history = await entry.history()
    except errors.PapayasparError:
        # The caller sends the publish again, which is safe under the same id, and reports the
        # outcome as unknown if no attempt succeeds.
        return None
    for revision in history.revisions:
        if revision.parent == parent:
            return revision
    return None


def _resolve(child: revisions.HistoryEntry, publish_id: str) -> answers.Published:
    if child.publish_id == publish_id:
        return answers.Published(child.revision, publish_id)
    raise errors.RevisionConflictError(
        f"revision {child.revision} by {child.author} was accepted first", field="parent"
    )
