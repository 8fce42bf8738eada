import { create, fromBinary } from "@bufbuild/protobuf";
import test from "ava";
import { LoadDigestSchema, ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { encodeReport } from "./encode_report.ts";

const MAX_DATAGRAM_BYTES = 65_507;

function streamOf(index: number, attemptChars: number) {
  return {
    attemptId: `${index}`.padEnd(attemptChars, "x"),
    service: "s",
    softwareVersion: "1",
    atMs: 1,
    contentKey: 1n,
  };
}

function decodeAll(messages: readonly Uint8Array[]) {
  return messages.map((message) => fromBinary(LoadDigestSchema, message));
}

// Guards against loads that no instance learns of while callers use long request ids.
test("a report that is larger than a datagram is sent in several, the loads in the first", (t) => {
  const streams = Array.from({ length: 20 }, (_, index) => streamOf(index, 30_000));
  const loads = [{ backendId: "b", running: 1 }];
  const leaving = [{ backendId: "b", startedAtMs: 1 }];
  const kind = ReportKind.MEMBER;
  const messages = encodeReport(
    create(LoadDigestSchema, { instance: "i", instanceCount: 1, kind, loads, streams, leaving }),
  );
  t.true(messages.every(({ length }) => length <= MAX_DATAGRAM_BYTES));
  const [first, ...others] = decodeAll(messages);
  t.deepEqual([first.instance, first.loads.length], ["i", 1]);
  t.true(others.every((digest) => digest.instance === "" && digest.kind === kind));
  const ids = others.flatMap((digest) => digest.streams.map(({ attemptId }) => attemptId));
  t.deepEqual(ids.sort(), streams.map(({ attemptId }) => attemptId).sort());
  t.is(others.flatMap((digest) => digest.leaving).length, 1);
});

test("an event that no datagram holds is left out, and the others are sent", (t) => {
  const streams = [streamOf(1, 10), streamOf(2, 100_000), streamOf(3, 10)];
  const sent = decodeAll(encodeReport(create(LoadDigestSchema, { streams })));
  t.deepEqual(sent.flatMap((digest) => digest.streams.map(({ attemptId }) => attemptId[0])), ["1", "3"]);
});

test("a report that fits is sent in one datagram", (t) => {
  t.is(encodeReport(create(LoadDigestSchema, { instance: "i", streams: [streamOf(1, 10)] })).length, 1);
});
