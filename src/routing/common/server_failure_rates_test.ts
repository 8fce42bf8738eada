import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { ServerFailureRates } from "./server_failure_rates.ts";

const ANSWER_INTERVAL_MS = 50;

function serversOf(count: number): IBackendEntry[] {
  const rest = { service: "s", host: "h", port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 0 };
  return Array.from({ length: count }, (_, index) => ({ id: `s${index}`, ...rest }));
}

/** Whether a server fails the answer with a number. */
type Failure = (index: number, answer: number) => boolean;

function setUp(count = 4) {
  const clock = { now: 0 };
  const rates = new ServerFailureRates(() => clock.now);
  const servers = serversOf(count);
  /** Has each server answer and returns how often any was considered failing. */
  const answer = (answers: number, isFailed: Failure) => {
    let findings = 0;
    for (let number = 0; number < answers; number++) {
      clock.now += ANSWER_INTERVAL_MS;
      servers.forEach((server, index) => rates.recordAnswer(server, { isFailed: isFailed(index, number) }));
      if (rates.failingAmong(servers).size > 0) findings += 1;
    }
    return findings;
  };
  const failing = () => [...rates.failingAmong(servers).keys()];
  return { clock, rates, servers, answer, failing };
}

const FIRST_FAILS_HALF: Failure = (index, answer) => index === 0 && answer % 2 === 0;

test("a server that fails every second request is found although its other answers succeed", (t) => {
  const { answer, failing, rates, servers } = setUp();
  answer(8, FIRST_FAILS_HALF);
  t.deepEqual(failing(), ["s0"]);
  answer(40, FIRST_FAILS_HALF);
  const rate = rates.failingAmong(servers).get("s0")!;
  t.true(rate > 0.4 && rate < 0.6, String(rate));
});

test("most of the servers may be failing without that seeming usual", (t) => {
  const { answer, failing } = setUp();
  answer(40, (index, number) => index > 0 && (index + number) % 2 === 0);
  t.deepEqual(failing(), ["s1", "s2", "s3"]);
});

test("servers that all fail 1 % of their requests are not told apart", (t) => {
  const { answer } = setUp(8);
  let state = 7;
  const isFailed = () => {
    state = (state * 48_271) % 2_147_483_647;
    return state % 100 === 0;
  };
  t.is(answer(5000, isFailed), 0);
});

test("servers that all fail alike are not told apart, nor is a server alone", (t) => {
  for (const period of [1, 2, 3]) {
    t.is(setUp().answer(200, (index, number) => (index + number) % period === 0), 0);
    t.is(setUp(1).answer(200, (_, number) => number % period === 0), 0);
  }
});

test("a server that has recovered is found sound within a few answers", (t) => {
  const { answer, failing } = setUp();
  answer(100, FIRST_FAILS_HALF);
  answer(20, () => false);
  t.deepEqual(failing(), []);
});

test("failures are forgotten with time, with a restart and with the loss of this instance's links", (t) => {
  for (const forget of ["time", "restart", "links"]) {
    const { answer, failing, rates, servers, clock } = setUp();
    answer(100, FIRST_FAILS_HALF);
    t.deepEqual(failing(), ["s0"]);
    if (forget === "time") clock.now += 120_000;
    if (forget === "restart") servers[0] = { ...servers[0], startedAtMs: clock.now };
    if (forget === "links") rates.clear();
    t.deepEqual(failing(), [], forget);
  }
});

test("a failing server is probed at intervals", (t) => {
  const { answer, rates, servers, clock } = setUp();
  answer(20, FIRST_FAILS_HALF);
  rates.recordSend(servers[0]);
  clock.now += 1900;
  t.false(rates.isProbeDue(servers[0]));
  clock.now += 200;
  t.true(rates.isProbeDue(servers[0]));
});

test("answers are reported once, and only of servers that have failed requests", (t) => {
  const { rates, servers } = setUp();
  rates.recordAnswer(servers[0], { isFailed: false });
  t.deepEqual(rates.takeUnreported(), []);
  rates.recordAnswer(servers[0], { isFailed: true });
  const run = { backendId: "s0", startedAtMs: 0 };
  t.deepEqual(rates.takeUnreported(), [{ run, answers: 2, failures: 1 }]);
  t.deepEqual(rates.takeUnreported(), []);
});

test("reported answers are not reported again, and delay the next probe", (t) => {
  const { clock, rates, servers, failing } = setUp();
  clock.now = 10_000;
  const run = { backendId: "s1", startedAtMs: 0 };
  rates.recordReported([{ run, answers: 100, failures: 50 }]);
  t.deepEqual(failing(), ["s1"]);
  t.deepEqual(rates.takeUnreported(), []);
  t.false(rates.isProbeDue(servers[1]));
  clock.now += 2000;
  t.true(rates.isProbeDue(servers[1]));
});

test("reports of a server that has recovered end its exclusion", (t) => {
  const { rates, failing } = setUp();
  const run = { backendId: "s1", startedAtMs: 0 };
  rates.recordReported([{ run, answers: 20, failures: 10 }]);
  t.deepEqual(failing(), ["s1"]);
  for (let answer = 0; answer < 20; answer++) rates.recordReported([{ run, answers: 1, failures: 0 }]);
  t.deepEqual(failing(), []);
});
