import test from "ava";
import { RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { ILogLine } from "./log_line.ts";
import { parseLogLine } from "./log_line.ts";
import { renderExplanation } from "./render_explanation.ts";
import { causesOf } from "./request_causes.ts";
import { explainRequest } from "./request_explanation.ts";

function logLine(
  seconds: number,
  instance: string,
  fields: { event: string; [name: string]: unknown },
): ILogLine {
  const time = new Date(1_000_000 + seconds * 1000).toISOString();
  return parseLogLine(`12.3 collector ${JSON.stringify({ time, level: "info", instance, ...fields })}`)!;
}

test("text that is not an instance's log line is ignored", (t) => {
  for (const text of ["", "plain", "{", "{}", "[1]", '{"time":"x","instance":"i","event":"e"}', "{null}"]) {
    t.is(parseLogLine(text), undefined, text);
  }
});

test("a refusal during a store outage names the affected instances and the error", (t) => {
  const lines = [
    logLine(10, "i2", {
      event: "request",
      request: "r",
      program: "p",
      status: 503,
      reason: "budget-unavailable",
      tookMs: 205,
    }),
    logLine(8, "i1", { event: "store-lost", topic: "t", error: "store answered 503" }),
    logLine(5, "i3", { event: "store-lost", topic: "t", error: "timed out" }),
    logLine(6, "i3", { event: "store-regained", topic: "t", awayMs: 1000 }),
    logLine(9, "i2", { event: "request", request: "q", program: "p", status: 200, tookMs: 20 }),
    logLine(9, "i2", { event: "request", request: "z", program: "other", status: 200, tookMs: 20 }),
  ];
  const explanation = explainRequest(lines, "r");
  t.deepEqual(explanation.causes, [
    "the owner could not record the grant in the store",
    "the store was unavailable to i1 (store answered 503)",
  ]);
  t.deepEqual(explanation.siblings.map(({ fields }) => fields.request), ["q"]);
  t.deepEqual(explanation.gaps, []);
});

test("an unknown outcome names the backend server and its fault", (t) => {
  const lines = [
    logLine(1, "i", {
      event: "backend-failed",
      request: "r",
      backend: "b",
      fault: "broken",
      error: "aborted",
    }),
    logLine(1.1, "i", {
      event: "request",
      request: "r",
      status: 502,
      reason: "outcome-unknown",
      runs: 1,
      backend: "b",
    }),
  ];
  const [first, second] = explainRequest(lines, "r").causes;
  t.is(first, "b failed (broken): aborted");
  t.regex(second, /may have run on 1 backend server/);
});

test("a killed instance and dropped lines are reported as gaps", (t) => {
  const lines = [
    logLine(1, "i", { event: "backend-failed", request: "r", backend: "b", fault: "broken" }),
    logLine(1.2, "j", { event: "log-lines-dropped", count: 7 }),
    logLine(3, "i", { event: "started" }),
  ];
  const { gaps } = explainRequest(lines, "r");
  t.regex(gaps[0], /killed before that/);
  t.regex(gaps[1], /j dropped 7 log lines/);
  const missing = explainRequest(lines, "none");
  t.regex(missing.gaps[0], /no instance logged this request/);
  t.deepEqual(missing.beliefs.map(({ event }) => event), ["started"]);
});

test("the causes of a late turn include the load data for its server", (t) => {
  const loaded = {
    event: "request",
    request: "r",
    status: 200,
    backend: "b",
    running: 14,
    firstEventMs: 90,
  };
  t.regex(explainRequest([logLine(1, "i", loaded)], "r").causes[0], /14 requests.*heavily loaded/);
  const slow = { ...loaded, running: 1, firstEventMs: 900 };
  t.regex(explainRequest([logLine(1, "i", slow)], "r").causes[0], /the data was stale or the server slow/);
});

test("every refusal reason has causes, and they are rendered", (t) => {
  for (const reason of Object.values(RefusalReason)) {
    const end = logLine(1, "i", { event: "request", request: "r", status: 503, reason });
    t.true(causesOf(end, { attempts: [], beliefs: [] }).length > 0, reason);
    t.true(renderExplanation("r", explainRequest([end], "r")).includes("why:"), reason);
  }
});

test("the causes of a disconnect during a store outage include both", (t) => {
  const disconnect = {
    event: "caller-left",
    request: "r",
    status: 0,
    backend: "b",
    events: 15,
    tookMs: 2429,
  };
  const causes =
    explainRequest([logLine(8, "j", { event: "store-lost", topic: "t" }), logLine(10, "i", disconnect)], "r")
      .causes;
  t.is(causes.length, 2);
  t.regex(causes[0], /2429 ms and 15 events/);
  t.regex(causes[1], /store was unavailable to j/);
});

test("slices taken over without a report of their grants are one cause, however many", (t) => {
  const lines = Array.from(
    { length: 9 },
    (_, slice) => logLine(1, "i", { event: "slice-opened", slice, isClean: false }),
  );
  const end = logLine(2, "i", {
    event: "request",
    request: "r",
    status: 402,
    reason: "budget-spent",
    budget: 900,
  });
  const { causes } = explainRequest([...lines, end], "r");
  t.is(causes.length, 2);
  t.regex(causes[1], /^9 slices/);
});

test("a refusal because of a shared part names the part and the servers that crashed", (t) => {
  const keyServers = ["b1@5", "b2@6", "b2@6", "b3@7"];
  const refusal = { event: "request", request: "r", status: 503, reason: RefusalReason.CrashingRequest };
  const [cause] = explainRequest([logLine(1, "i", { ...refusal, key: "target:01", keyServers })], "r").causes;
  t.regex(cause, /share its target:01 have crashed 3 backend servers \(b1@5, b2@6, b3@7\)/);
  const [other] = explainRequest([logLine(1, "i", refusal)], "r").causes;
  t.regex(other, /with this content/);
});

test("refusals by key name the reason, the start of the key's digest and the configuration version", (t) => {
  const key = { keyDigest: "0123abcd", version: 7 };
  const explain = (fields: object) =>
    explainRequest([
      logLine(9, "i", { event: "store-lost", topic: "t", error: "timed out" }),
      logLine(10, "i", { event: "request", request: "r", tookMs: 0, ...fields }),
    ], "r");
  const store = "the store was unavailable to i (timed out)";
  t.deepEqual(explain({ status: 401, reason: "key-unknown", ...key }).causes, [
    "no organisation of configuration 7 has a key whose digest begins with 0123abcd",
    store,
  ]);
  t.deepEqual(explain({ status: 401, reason: "key-missing", version: 7 }).causes, [
    "the request carried no API key, and its route is not public in configuration 7",
    store,
  ]);
  const turn = { status: 404, reason: "turn-not-owned", previousTurn: "t0", organisation: "acme", ...key };
  t.deepEqual(explain(turn).causes, [
    "turn t0 does not belong to acme, which the key with digest 0123abcd belongs to in configuration 7",
  ]);
  t.regex(renderExplanation("r", explain(turn)), /keyDigest=0123abcd/);
});

test("a request whose key was withdrawn while it waited names the configuration that did it", (t) => {
  const key = { keyDigest: "0123abcd", version: 8 };
  const explanation = explainRequest([
    logLine(1, "i", { event: "send-denied", request: "r", reason: "key-unknown", ...key }),
    logLine(1, "i", {
      event: "request",
      request: "r",
      status: 502,
      reason: "outcome-unknown",
      runs: 1,
      tookMs: 5,
    }),
  ], "r");
  t.is(
    explanation.causes[0],
    "the key with digest 0123abcd was valid when the request arrived, and no longer in configuration 8, so it was not sent (again)",
  );
  t.is(explanation.causes.length, 2);
});

test("both sends of a hedged request are named, and which of them was relayed", (t) => {
  const sent = logLine(1, "i", {
    event: "request-hedged",
    request: "r",
    backend: "a",
    hedgeBackend: "b",
    hedgedAfterMs: 80,
  });
  const causesWith = (fields: object) => {
    const end = logLine(2, "i", {
      event: "request",
      request: "r",
      status: 200,
      hedgeBackend: "b",
      ...fields,
    });
    return explainRequest([sent, end], "r").causes;
  };
  const sends = "sent to a and, after 80 ms without an answer, also to b; ";
  const rest = " was relayed and the other send cancelled, unless it had failed before";
  t.deepEqual(causesWith({ backend: "b", hedgeWon: true }), [`${sends}the answer of b${rest}`]);
  t.deepEqual(causesWith({ backend: "a", hedgeWon: false }), [`${sends}the answer of a${rest}`]);
  const unknown = causesWith({ status: 502, reason: RefusalReason.OutcomeUnknown, backend: "b", runs: 2 });
  t.is(unknown.at(-1), `${sends}neither answer was relayed in full`);
});

test("a refusal by an allotment names the deciding instance, the allotment and the configuration", (t) => {
  const refusal = { event: "request", request: "r", status: 429, reason: RefusalReason.AllotmentExhausted };
  const allotment = { allotmentOwner: "i7:3", allotmentPerS: 12.5, allotmentVersion: 42 };
  const [cause] = explainRequest([logLine(1, "i", { ...refusal, ...allotment })], "r").causes;
  for (const part of ["i7:3", "12.5 requests per second", "configuration 42"]) {
    t.true(cause.includes(part), cause);
  }
  const [alone] =
    explainRequest([logLine(1, "i", { ...refusal, ...allotment, allotmentOwner: "" })], "r").causes;
  t.true(alone.includes("i decided alone"), alone);
});

test("a turn that waited for the owner of a slice names the step, the slice, its owner and state", (t) => {
  const wait = { slice: 12, owner: "i3:7", tries: 4, waitMs: 640 };
  const grant = { ...wait, step: "grant", status: "unresponsive", isServed: false, error: "timed out" };
  const history = { ...wait, step: "history", status: "open", isServed: true };
  const end = { event: "request", request: "r", status: 503, reason: RefusalReason.BudgetUnavailable };
  const line = logLine(1, "i", { ...end, ownerWaits: [grant, history] });
  t.deepEqual(explainRequest([line], "r").causes, [
    "no owner of the program's slice responded",
    "grant waited 640 ms for slice 12 at i3:7 and was not served (unresponsive) after 4 calls, last error: timed out",
    "history waited 640 ms for slice 12 at i3:7 and was served after 4 calls",
  ]);
});
