import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { RecordingSink } from "../../../test/stand_ins/recording_sink.ts";
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IHedgingPolicy } from "../../routing/common/hedging_policy.ts";
import { HedgeDenial } from "../../routing/common/hedging_policy.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind } from "../../services/routes/common/route_table.ts";
import type { IHedgeLimitClient } from "./hedge_limit_client.ts";
import type { BackendDispatcher, IAttempt } from "./backend_dispatcher.ts";
import type { IHedgedDispatcherOptions } from "./hedged_dispatcher.ts";
import { HedgedDispatcher } from "./hedged_dispatcher.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";
import type { IPermitDecision } from "./permit_client.ts";
import { AttemptOutcome, RelayedCall } from "./relayed_call.ts";
import { RequestIdentity } from "./request_identity.ts";

const DELAY_MS = 10;
const FIRST_MS = 500;
const CHOICES = ["first", "second"].map((id) =>
  ({ backend: { id, zone: "z", slots: 4 } as IBackendEntry, costMs: 1, running: 0 }) as IBackendChoice
);

interface IGrants {
  readonly allotment?: Effect.Effect<boolean>;
  readonly denial?: HedgeDenial;
  readonly permit?: Effect.Effect<IPermitDecision>;
}

/** Sends a request to a slow server and returns the servers that received it, and what the policy was told. */
function runSlow({ allotment, denial, permit = Effect.succeed({ isGranted: true, waitMs: 0 }) }: IGrants) {
  const sent: string[] = [];
  const log: string[] = [];
  const dispatcher = {
    choose: (_call: RelayedCall, excluded: ReadonlySet<string>) =>
      CHOICES.find(({ backend }) => !excluded.has(backend.id)),
    engineOf: () => undefined,
    run: ({ sink }: IAttempt, { backend }: IBackendChoice) =>
      Effect.gen(function* () {
        sent.push(backend.id);
        yield* Effect.sleep(FIRST_MS);
        sink.respond(200, [], new Uint8Array());
        return AttemptOutcome.Done;
      }),
  } as unknown as BackendDispatcher;
  const policy: IHedgingPolicy = {
    includes: () => true,
    recordLatency: () => {},
    delayMs: () => DELAY_MS,
    isIdleEnough: () => true,
  };
  const limit: IHedgeLimitClient = {
    recordSend: () => {},
    acquire: (service) =>
      Effect.sync(() => {
        if (denial !== undefined) return denial;
        log.push("withdraw");
        return { service, grantedBy: "o" };
      }),
    refund: () => log.push("refund"),
  };
  const metrics = new Metrics();
  const opts = {
    directory: { listAvailable: () => CHOICES.map(({ backend }) => backend) },
    loads: {
      isInBackoff: () => false,
      running: () => 0,
      unitLatencyMs: () => FIRST_MS / 2,
      recordUnitLatency: (id: string, latencyMs: number) => log.push(`${id} takes at least ${latencyMs} ms`),
    },
    permits: { isExhausted: () => false, acquire: () => permit },
    crashes: { separationOf: () => undefined, isQuarantined: () => false },
    logger: new NullLogger(),
    metrics,
    hedging: allotment === undefined
      ? { policy, limit }
      : { policy, limit, acquireExtraSend: () => allotment },
  } as unknown as IHedgedDispatcherOptions;
  const req = { id: "r", host: "h", target: "/", headers: [], body: new Uint8Array() };
  const call = new RelayedCall(req as unknown as IOpaqueRequest, {
    identity: RequestIdentity.of(req as unknown as IOpaqueRequest),
    route: { kind: RouteKind.Safe, attempts: 2, timeoutMs: 3000 } as IRoute,
    service: "s",
    now: 0,
    configurationVersion: 1,
  });
  call.choice = CHOICES[0];
  const attempt = { call, sink: new RecordingSink(), body: req.body, beforeEnd: Effect.succeed(true) };
  const work = Effect.gen(function* () {
    const running = yield* Effect.forkChild(new HedgedDispatcher(dispatcher, opts).run(attempt, CHOICES[0]));
    yield* TestClock.adjust(2 * FIRST_MS);
    return yield* Fiber.join(running);
  });
  const ended = Effect.runPromise(Effect.provide(work, TestClock.layer()));
  return ended.then((outcome) => ({ outcome, sent, log, runs: call.runs, denied: metrics.render() }));
}

test("the second send takes a token of the limit, of the allotment and of the server's limit", async (t) => {
  const { sent, log } = await runSlow({ allotment: Effect.succeed(true) });
  t.deepEqual(sent, ["first", "second"]);
  // The time of the cancelled send is a lower bound of its server's latency.
  t.deepEqual(log, ["withdraw", `second takes at least ${FIRST_MS - DELAY_MS} ms`]);
});

test("without the allotment's or the server's permission nothing is sent, and the limit's token is returned", async (t) => {
  const refused = Effect.succeed({ isGranted: false, waitMs: 50 });
  const cases = [["allotment", { allotment: Effect.succeed(false) }], ["server-limit", {
    permit: refused,
  }]] as const;
  for (const [reason, grants] of cases) {
    const { outcome, sent, log, denied } = await runSlow(grants);
    t.is(outcome, AttemptOutcome.Done);
    t.deepEqual(sent, ["first"], reason);
    t.deepEqual(log, ["withdraw", "refund"]);
    t.true(denied.includes(`reason="${reason}"} 1`));
  }
});

test("a first answer that arrives while permission is being asked for ends the request at once", async (t) => {
  const { outcome, sent, log } = await runSlow({ allotment: Effect.never });
  t.is(outcome, AttemptOutcome.Done);
  t.deepEqual(sent, ["first"]);
  t.deepEqual(log, ["withdraw", "refund"]);
});

test("without the owner's grant nothing is sent, and the reason is counted", async (t) => {
  for (const denial of [HedgeDenial.Owner, HedgeDenial.Limit]) {
    const { outcome, sent, log, denied } = await runSlow({ denial });
    t.is(outcome, AttemptOutcome.Done);
    t.deepEqual(sent, ["first"]);
    t.deepEqual(log, []);
    t.true(denied.includes(`reason="${denial}"} 1`));
  }
});
