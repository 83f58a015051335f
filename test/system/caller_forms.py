"""Crowds of callers that come back as soon as they have left, in the forms that
caller_crowds and returning_callers do not have.

The gateway and the bounds are those of caller_crowds. Checked is, for each form,
that

- the process lives, and its memory and open descriptors stay within its limits;
- an ordinary request is answered while the crowd comes and goes;
- one body of the same size is served once the crowd has left.

Guards against memory that is in use for what callers left behind.

usage: caller_forms.py BUILD [FORM...]
"""

import asyncio
import sys

from caller_crowds import BODY, CROWDS, QuickUpstream, get_head, post_head, reset
import fault_soak
from fault_soak import answer
from planned_stop import gateway_of_build, run_and_report
from returning_callers import ReturningCrowd

# Time in which a caller sends, and for which it waits before it leaves.
SEND_LIMIT = 1.0
WAIT = 0.5
# Seconds after which a late answer comes, and for which an upstream is in use
# for a caller that has left.
LATE = 3.0


def whole_body(path, missing):
    def text(rid):
        return post_head(path, rid, f"Content-Length: {BODY}") + b"x" * (BODY - missing)
    return text


def tiny_chunks(rid):
    chunk = b"1;name=" + b"v" * 40 + b"\r\nx\r\n"
    return post_head("upload", rid, "Transfer-Encoding: chunked") + chunk * (BODY // len(chunk))


def part_of_head(rid):
    return post_head("upload", rid, f"Field: {'v' * 12000}")[:-2]


def many_heads(rid):
    return b"".join(get_head("safe", f"{rid}-{n}") for n in range(200))


def large_answer(rid):
    return get_head("large", rid)


# Name: bytes of a visit, and whether it ends with a reset.
FORMS = {
    "reset": (whole_body("upload", 1), True),
    "repeatable": (whole_body("safe", 1), False),
    "tiny_chunks": (tiny_chunks, False),
    "part_of_head": (part_of_head, False),
    "many_heads": (many_heads, False),
    "late_answer": (whole_body("late", 0), False),
    "large_answer": (large_answer, False),
    "large_answer_reset": (large_answer, True),
}
CROWD_FORMS = {
    name: (lambda rid, framing=framing, body=body: post_head("upload", rid, framing) + body, False)
    for name, (framing, body, _) in CROWDS.items()
}
MIX = "mix"


class FormsUpstream(QuickUpstream):
    async def run(self, writer, line, fields, body):
        path = line.split("/")[1]
        if path == "late":
            await asyncio.sleep(LATE)
        if path != "large":
            await super().run(writer, line, fields, body)
            return
        rid = fields.get("request-id", "")
        self.soak.note_run(rid, self, line)
        writer.write(answer(200, b"x" * BODY, [("Server-Stamp", self.name), ("Request-Id", rid)]))
        await writer.drain()


class CallerForms(ReturningCrowd):
    kinds = {"safe": "safe", "upload": "upload", "late": "upload", "large": "safe"}
    crowd_time = 5.0

    async def visit(self, gateway, name, number, count):
        forms = list((FORMS | CROWD_FORMS).values()) if name == MIX else [FORMS[name]]
        text, is_reset = forms[(number + count) % len(forms)]
        try:
            _, writer = await self.open(gateway)
        except OSError:
            return None
        try:
            writer.write(text(f"{name}-{number}-{count}"))
            await asyncio.wait_for(writer.drain(), SEND_LIMIT)
            await asyncio.sleep(WAIT)
        except (OSError, asyncio.TimeoutError):
            pass
        return (lambda: reset(writer)) if is_reset else writer.close

    async def play_form(self, name):
        await self.play_returns(name, 1.0 + (LATE if name in (MIX, "late_answer") else 0))

    async def run(self):
        for name in sys.argv[2:] or [*FORMS, MIX]:
            # A process each, as its highest memory is checked.
            await self.start(fault_soak.Store(), FormsUpstream, 3)
            await self.play_form(name)
            await self.end_process()


def main():
    test = CallerForms(*gateway_of_build("forms"))
    run_and_report(test, test.run(), lambda: "caller forms: ")


if __name__ == "__main__":
    main()
