import test from "ava";
import { RecordingSink } from "../../../test/stand_ins/recording_sink.ts";
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { HedgeRace } from "./hedge_race.ts";
import type { IOpaqueRequest, IResponseHead } from "./opaque_request.ts";
import { AttemptOutcome, RelayedCall } from "./relayed_call.ts";
import { RequestIdentity } from "./request_identity.ts";
import { StreamRelay } from "./stream_relay.ts";

const REQUEST = { id: "r", host: "h", target: "/", headers: [], body: new Uint8Array() };
const LIMITS = { maxResponseBytes: 10_000, maxEventBytes: 1000 };

function makeRace() {
  const req = REQUEST as unknown as IOpaqueRequest;
  const call = new RelayedCall(req, {
    identity: RequestIdentity.of(req),
    route: { isResumable: true, timeoutMs: 1000 } as IRoute,
    service: "s",
    now: 0,
    configurationVersion: 1,
  });
  const sink = new RecordingSink();
  const race = new HedgeRace(call, { sink, onDidClaim: () => {} });
  const origins: (string | undefined)[] = [];
  const add = (softwareVersion: string, runs: number) => {
    const choice = { backend: { service: "s", softwareVersion } as IBackendEntry } as IBackendChoice;
    const attempt = race.add(call.fork(choice, { now: 10, runs }));
    const relay = new StreamRelay(attempt.call, {
      sink: attempt,
      head: { status: 200, headers: [] } as unknown as IResponseHead,
      streams: { record: (_stream, origin) => origins.push(origin.softwareVersion) },
      limits: LIMITS,
      silence: { serverSinceMs: 0, callerSinceMs: 0 },
      now: () => 0,
      claim: () => race.claim(attempt),
    });
    return { attempt, push: (text: string) => relay.push(Buffer.from(text)) };
  };
  return { call, sink, race, origins, first: add("v1", 0), second: add("v2", 1) };
}

test("bytes of the loser that arrive before its connection is closed leave no trace", (t) => {
  const { call, sink, origins, first, second } = makeRace();
  second.push("id: 1\ndata: b\n\n");
  first.push("id: 1\ndata: a\n\n");
  first.attempt.write(Buffer.from("a"));
  first.attempt.respond(200, [], Buffer.from("a"));
  first.attempt.end();
  first.attempt.abort();
  second.push("id: 2\ndata: b\n\n");
  t.is(sink.text, "id: 1\ndata: b\n\nid: 2\ndata: b\n\n");
  t.false(sink.isEnded || sink.isAborted);
  t.deepEqual(origins, ["v2"]);
  t.is(call.origin?.softwareVersion, "v2");
  t.is(call.lastEventId, "2");
  t.is(call.runs, 1, "the loser may have run");
  t.is(call.deadlineAtMs, 1000);
});

test("a comment does not decide between two streams", (t) => {
  const { sink, origins, first, second } = makeRace();
  first.push(": alive\n\n");
  second.push("id: 1\ndata: b\n\n");
  first.push("id: 1\ndata: a\n\n");
  t.is(sink.text, "id: 1\ndata: b\n\n");
  t.deepEqual(origins, ["v2"]);
});

test("an error is held back while the other attempt is running, and its bytes are kept", (t) => {
  const { call, sink, race, first, second } = makeRace();
  const body = Buffer.from("error");
  second.attempt.respond(500, [], body);
  second.attempt.call.runs += 1;
  race.recordEnd(second.attempt, AttemptOutcome.Done);
  body.fill(0);
  t.is(sink.status, 0);
  first.attempt.call.runs += 1;
  race.recordEnd(first.attempt, AttemptOutcome.Failed);
  t.true(second.attempt.relayHeldResponse());
  t.is(sink.text, "error");
  t.is(call.runs, 2);
});
