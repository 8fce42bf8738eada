/**
 * A part of requests' content that many sound requests share is not taken for the cause of crashes, also if the instances that
 * saw these requests complete are lost; one that crashes servers stays refused over such a loss.
 */
import { toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { Effect } from "effect";
import { StrikeSchema } from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { RequestIdentity } from "../../src/call/common/request_identity.ts";
import { strikeKey } from "../../src/call/common/strike_ledger.ts";
import { toStrikeMessage } from "../../src/call/common/strike_message.ts";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath, STRIKE_TOPIC } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const INSTANCES = 4;
const SEND_INTERVAL_MS = 10;
const WARM_UP_MS = 1000;
/** Time for which the instances are down. */
const DOWN_MS = 1200;
/** Time after which the users' rule demands that turns are served again, and for which the test goes on. */
const RECOVER_MS = 12_000;
const LAST_MS = 2000;
/** The part that all requests share. */
const SHARED = "shared";

/** What all requests of a play have in common. */
enum SharedPart {
  PromptPart = "prompt part",
  Target = "target",
  AffinityKey = "affinity key",
  /** Requests without a body, whose content is the same as a whole. */
  WholeRequest = "whole request",
}

enum Loss {
  AllAtOnce = "all instances are lost at once",
  OneByOneThenAll = "instances are lost one by one, then all at once",
  OneInstance = "one instance is lost",
  AllTwice = "all instances are lost twice",
}

interface IScenario {
  readonly part: SharedPart;
  readonly loss: Loss;
  readonly crashes: number;
  readonly intervalMs: number;
  /** Time between the last crash and the loss. */
  readonly calmMs: number;
  /** Whether the store refuses all calls from the middle of the crashes until after the loss. */
  readonly isStoreAway?: boolean;
  /** Runs while all instances are down. */
  readonly whileDown?: (cluster: GatewayCluster) => void;
}

interface IOutcome {
  readonly refusedBefore: number;
  /** Refusals after the loss, and those of them later than {@link RECOVER_MS} after it. */
  readonly refused: number;
  readonly refusedLate: number;
  readonly lastRefusalMs: number;
  readonly servedLate: number;
}

function requestFor(part: SharedPart, own: string): IGatewayRequest {
  switch (part) {
    case SharedPart.PromptPart:
      return {
        route: RoutePath.Turn,
        name: own,
        caller: CallerKind.Program,
        body: own,
        promptParts: [SHARED, `own-${own}`],
      };
    case SharedPart.Target:
      return { route: RoutePath.Safe, name: SHARED, caller: CallerKind.None, body: own };
    case SharedPart.AffinityKey:
      return { route: RoutePath.Safe, name: own, caller: CallerKind.None, body: own, affinityKey: SHARED };
    case SharedPart.WholeRequest:
      return { route: RoutePath.Safe, name: SHARED, caller: CallerKind.None };
  }
}

class Play {
  readonly #cluster: GatewayCluster;
  readonly #scenario: IScenario;
  readonly #service: string;
  #sent = 0;
  #lossAtMs = Infinity;
  readonly #refusedAtMs: number[] = [];
  readonly #servedAtMs: number[] = [];

  constructor(cluster: GatewayCluster, scenario: IScenario) {
    this.#cluster = cluster;
    this.#scenario = scenario;
    this.#service = scenario.part === SharedPart.PromptPart ? "engines" : "plain";
  }

  run(): Effect.Effect<IOutcome> {
    return Effect.gen({ self: this }, function* () {
      const { crashes, intervalMs, calmMs, loss, isStoreAway = false } = this.#scenario;
      yield* this.#sendFor(WARM_UP_MS);
      for (let crash = 0; crash < crashes; crash++) {
        if (isStoreAway && crash === Math.floor(crashes / 2)) this.#setStoreRefused(true);
        yield* this.#crashOne();
        if (loss === Loss.OneByOneThenAll && crash < INSTANCES) {
          yield* this.#cluster.restart(this.#cluster.names[crash]);
        }
        yield* this.#sendFor(intervalMs);
      }
      yield* this.#sendFor(calmMs);
      yield* this.#lose();
      this.#lossAtMs = this.#cluster.nowMs;
      if (isStoreAway) this.#setStoreRefused(false);
      yield* this.#sendFor(RECOVER_MS + LAST_MS);
      yield* this.#cluster.advance(3000);
      return this.#outcome();
    });
  }

  #setStoreRefused(isRefused: boolean): void {
    for (const gateway of this.#cluster.gateways.values()) gateway.isStoreRefused = isRefused;
  }

  #lose(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { loss, isStoreAway: isStoreRefused = false } = this.#scenario;
      const { names } = this.#cluster;
      if (loss === Loss.OneInstance) return yield* this.#cluster.restart(names[0], { isStoreRefused });
      for (let round = 0; round < (loss === Loss.AllTwice ? 2 : 1); round++) {
        if (round > 0) yield* this.#sendFor(500);
        for (const name of names) yield* this.#cluster.kill(name);
        this.#scenario.whileDown?.(this.#cluster);
        yield* this.#cluster.advance(DOWN_MS);
        for (const name of names) yield* this.#cluster.start(name, { isStoreRefused });
      }
    });
  }

  /** Ends the server with the most requests, none of which has caused it. */
  #crashOne(): Effect.Effect<void> {
    const [server] = this.#cluster.fleet.servers.filter(({ service, isUp }) =>
      service === this.#service && isUp
    ).sort((a, b) => b.open.size - a.open.size);
    return Effect.asVoid(Effect.forkDetach(this.#cluster.fleet.crash(server)));
  }

  #sendFor(durationMs: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += SEND_INTERVAL_MS) {
        yield* Effect.forkDetach(this.#send());
        yield* this.#cluster.advance(SEND_INTERVAL_MS);
      }
    });
  }

  #send(): Effect.Effect<void> {
    const { names } = this.#cluster;
    const number = this.#sent++;
    const req = requestFor(this.#scenario.part, `n${number}`);
    const sending = this.#cluster.send(names[number % names.length], { ...req, id: `r${number}` });
    return Effect.map(sending, ({ status, text }) => {
      if (status === 200) this.#servedAtMs.push(this.#cluster.nowMs);
      if (text.includes("crashing-request")) this.#refusedAtMs.push(this.#cluster.nowMs);
    });
  }

  #outcome(): IOutcome {
    const after = this.#refusedAtMs.map((atMs) => atMs - this.#lossAtMs).filter((ms) => ms >= 0);
    return {
      refusedBefore: this.#refusedAtMs.length - after.length,
      refused: after.length,
      refusedLate: after.filter((ms) => ms > RECOVER_MS).length,
      lastRefusalMs: Math.max(0, ...after),
      servedLate: this.#servedAtMs.filter((atMs) => atMs - this.#lossAtMs > RECOVER_MS).length,
    };
  }
}

function play(scenario: IScenario): Promise<IOutcome> {
  const opts = {
    instances: INSTANCES,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.NewId,
  };
  return GatewayCluster.run(opts, (cluster) => new Play(cluster, scenario).run());
}

const SECOND_APART = { crashes: 8, intervalMs: 1000, calmMs: 2000 };
const JUST_BEFORE = { crashes: 8, intervalMs: 500, calmMs: 0 };

function testServed(title: string, scenario: IScenario): void {
  test(`a much used ${scenario.part} is served ${title}, when ${scenario.loss}`, async (t) => {
    const outcome = await play(scenario);
    t.log(outcome);
    t.is(outcome.refusedLate, 0);
    t.true(outcome.servedLate > 0);
  });
}

for (const loss of Object.values(Loss)) {
  testServed("after crashes 1 s apart", { part: SharedPart.PromptPart, loss, ...SECOND_APART });
}
for (const part of Object.values(SharedPart)) {
  const scenario = { part, loss: Loss.AllAtOnce, ...JUST_BEFORE };
  testServed("after crashes 500 ms apart, the last just before the loss", scenario);
}
testServed("after crashes while the store is away", {
  part: SharedPart.PromptPart,
  loss: Loss.AllAtOnce,
  crashes: 8,
  intervalMs: 1000,
  calmMs: 0,
  isStoreAway: true,
});

const OLD_STRIKES = 12;
const OLD_STRIKE_INTERVAL_MS = 2000;

/** Writes strikes as old builds do: for all parts of requests that share one, without what was suspected. */
function writeOldStrikes(cluster: GatewayCluster): void {
  for (let index = 0; index < OLD_STRIKES; index++) {
    const atMs = cluster.nowMs - (OLD_STRIKES - index) * OLD_STRIKE_INTERVAL_MS;
    const identity = new RequestIdentity({
      method: "POST",
      host: "h",
      target: `${RoutePath.Turn}old-${index}`,
      body: Buffer.from(`old-${index}`),
      affinityKey: "",
      promptPartIds: [SHARED, `own-old-${index}`],
    });
    const server = { backendId: `gone-${index}`, startedAtMs: 1 };
    const { fingerprint, sharedKeys: keys } = identity;
    const strike = { ...server, fingerprint, level: 1, atMs, sentAtMs: atMs - 50, keys };
    cluster.store.putKey(STRIKE_TOPIC, strikeKey(strike), toBinary(StrikeSchema, toStrikeMessage(strike)));
  }
}

test("a much used prompt part is served by instances that read strikes of old builds from the store", async (t) => {
  const scenario = {
    part: SharedPart.PromptPart,
    loss: Loss.AllAtOnce,
    crashes: 0,
    intervalMs: 0,
    calmMs: 25_000,
    whileDown: writeOldStrikes,
  };
  const outcome = await play(scenario);
  t.log(outcome);
  t.true(outcome.refused > 0, "the instances read the strikes");
  t.is(outcome.refusedLate, 0);
  t.true(outcome.servedLate > 0);
});
