"""Publishing of rules, with a lost answer settled before anything is sent again."""

import anyio

from papayaspar_control import answers, client
from papayaspar_model import errors, identifiers
from papayaspar_rules import revisions

ATTEMPTS_MAX = 5
RETRY_WAIT_S = 0.5


async def publish(
    entry: client.Client, text: str, parent: int, author: str, publish_id: str = ""
) -> answers.Published:
    """Publish rules exactly once.

    When an answer is lost, the history is asked for the publish id; only a publish that is not
    there is sent again, under the same id.

    :param entry: the entry to ask.
    :param text: the rules.
    :param parent: revision they were made from.
    :param author: who publishes.
    :param publish_id: name for this publish; a fresh one when left out.
    :return: the new revision.
    :raises RevisionConflictError: if another revision was accepted first.
    :raises InvalidRulesError: if the rules have faults.
    :raises OutcomeUnknownError: if the publish can't be settled.
    """
    publish_id = publish_id or identifiers.new_id("pub")
    may_have_run = False
    for attempt in range(ATTEMPTS_MAX):
        if attempt:
            await anyio.sleep(RETRY_WAIT_S * attempt)
        child = await _child_of(entry, parent) if may_have_run else None
        if child is not None:
            return _settled(child, publish_id)
        try:
            return await entry.publish_rules(text, parent, publish_id, author)
        except errors.RevisionConflictError:
            # After a lost answer the winner may be this very publish; the history tells.
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
        f"publish {publish_id} is not settled; look for it in the history before publishing again"
    )


async def _child_of(entry: client.Client, parent: int) -> revisions.HistoryEntry | None:
    try:
        history = await entry.history()
    except errors.PapayasparError:
        # The caller asks the other entries, and reports the publication as unknown if none tells.
        return None
    for revision in history.revisions:
        if revision.parent == parent:
            return revision
    return None


def _settled(child: revisions.HistoryEntry, publish_id: str) -> answers.Published:
    if child.publish_id == publish_id:
        return answers.Published(child.revision, publish_id)
    raise errors.RevisionConflictError(
        f"revision {child.revision} by {child.author} was accepted first", field="parent"
    )
