/**
 * Seeded losses of power of all instances after stored turns, with what the store, its consumer group and the peers do
 * meanwhile, and turns that continue the stored ones through any instance afterwards.
 */
import { Effect } from "effect";
import type { IGroupJoin } from "../../src/services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";
import { SeededRandom } from "../demo/random.ts";
import { MemberGroup } from "../stand_ins/member_group.ts";
import type { IStoreCall } from "./gateway_cluster.ts";
import { CallerKind, GatewayCluster, PeerReach, RoutePath } from "./gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const PARTS = 8;
const STORE_TIMEOUT_MS = 1000;
const SEND_INTERVAL_MS = 500;
/** Time after the return for which turns are sent. */
const RECOVERY_MS = 6000;
const ROUND_MS = 300;
const WRITES_PER_S = 800;
const READS_PER_S = 2000;
const DEADLINE_MS = 3000;

/** What the store does from shortly before the loss until the instances are back. */
export enum StoreTrouble {
  None = "none",
  Slow = "slow",
  /** Calls are lost; some of the appends take effect. */
  Lossy = "lossy",
  /** Appends take effect seconds after they have been given up. */
  Late = "late",
  PartAway = "part away",
  Down = "down",
  /** Few calls a second are accepted. */
  Limited = "limited",
}

/** How the instances come back. */
export enum Return {
  AtOnce = "at once",
  OneByOne = "one by one",
  SomeNever = "some never",
  NewNames = "new names",
}

export interface IPowerLossPlan {
  readonly seed: number;
  readonly instances: number;
  readonly sliceTopics: number;
  readonly trouble: StoreTrouble;
  readonly returning: Return;
  readonly lossMs: number;
  readonly staggerMs: number;
  /** Number of turns of each program before the loss. */
  readonly rounds: number;
  /** Whether calls to lost instances hang instead of being refused. */
  readonly hangs: boolean;
  /** Whether the store reassigns all partitions at once. */
  readonly reassigns: boolean;
  /** Number of losses that follow each other. */
  readonly losses: number;
  readonly isSticky: boolean;
  readonly countsMoves: boolean;
  /** Whether memberships are kept while the store is down. */
  readonly pausesGroup: boolean;
  /** Whether the oldest records of all slices have expired. */
  readonly trims: boolean;
  /** Whether the store refuses one of the instances from its return on. */
  readonly refusesInstance: boolean;
}

/** A turn that was refused or cut. */
export interface IUnserved {
  readonly turn: string;
  readonly through: string;
  readonly afterReturnMs: number;
  readonly status: number;
  /** Reason of the refusal and what the turn waited for. */
  readonly cause: unknown;
}

export interface IPowerLossOutcome {
  readonly plan: IPowerLossPlan;
  readonly stored: number;
  readonly sent: number;
  /** Turns that continue stored ones. */
  readonly unserved: readonly IUnserved[];
  /** First turns of programs. */
  readonly firstUnserved: readonly IUnserved[];
  /** Those through the instance that the store refuses. */
  readonly refusedUnserved: readonly IUnserved[];
}

export function planPowerLoss(seed: number, fixed: Partial<IPowerLossPlan> = {}): IPowerLossPlan {
  const random = scrambled(seed);
  const pick = <T>(values: readonly T[]): T => values[random.nextInt(values.length)];
  return {
    seed,
    instances: pick([3, 3, 5, 10, 10, 10]),
    sliceTopics: pick([1, 2, 8]),
    trouble: pick(Object.values(StoreTrouble)),
    returning: pick(Object.values(Return)),
    lossMs: pick([500, 1000, 1900, 2100, 3000, 5000]),
    staggerMs: pick([0, 100, 500, 1500]),
    rounds: pick([1, 3, 6, 18]),
    hangs: pick([true, false]),
    reassigns: pick([true, false]),
    losses: pick([1, 1, 1, 2]),
    isSticky: pick([true, false]),
    countsMoves: pick([true, false]),
    pausesGroup: pick([true, false]),
    trims: pick([true, false]),
    refusesInstance: pick([true, false, false, false]),
    ...fixed,
  };
}

/** The first numbers of neighbouring seeds are alike. */
function scrambled(seed: number): SeededRandom {
  const random = new SeededRandom(Math.imul(seed + 1, 0x9E3779B1));
  for (let skipped = 0; skipped < 20; skipped++) random.nextInt(2);
  return random;
}

export function playPowerLoss(plan: IPowerLossPlan): Promise<IPowerLossOutcome> {
  const opts = {
    instances: plan.instances,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
    settings: { sliceTopics: plan.sliceTopics, storeParts: PARTS },
  };
  return GatewayCluster.run(opts, (cluster) => new PowerLossPlay(cluster, plan).play());
}

class PowerLossPlay {
  readonly #cluster: GatewayCluster;
  readonly #plan: IPowerLossPlan;
  readonly #random: SeededRandom;
  readonly #group: MemberGroup;
  readonly #powerless = new Set<string>();
  readonly #stored: string[] = [];
  readonly #tips = new Map<string, string>();
  #nextTurn = 0;
  #trouble = StoreTrouble.None;
  #refused = "";
  #windowMs = 0;
  #reads = 0;
  #writes = 0;
  #sent = 0;

  constructor(cluster: GatewayCluster, plan: IPowerLossPlan) {
    this.#cluster = cluster;
    this.#plan = plan;
    this.#random = scrambled(plan.seed + 1_000_000);
    const { isSticky, countsMoves } = plan;
    this.#group = new MemberGroup({ parts: PARTS, now: () => cluster.nowMs, isSticky, countsMoves });
  }

  play(): Effect.Effect<IPowerLossOutcome> {
    return Effect.gen({ self: this }, function* () {
      const cluster = this.#cluster;
      const plan = this.#plan;
      const group = this.#group;
      Object.assign(cluster.store, {
        join: (join: IGroupJoin) => group.join(join),
        leave: (_: string, member: string) => group.leave(member),
        owners: () => group.owners(),
      });
      cluster.callStore = (call) => this.#callStore(call);
      cluster.reachPeer = (_, to) => plan.hangs && this.#powerless.has(to) ? PeerReach.Hangs : PeerReach.Open;
      yield* cluster.advance(4000);
      if (plan.trims) yield* this.#trim();
      const programs = Array.from({ length: 16 }, (_, index) => `p${index}`);
      for (let round = 0; round < plan.rounds; round++) {
        for (const program of programs) yield* this.#sendStoring(program);
        yield* cluster.advance(ROUND_MS);
      }
      for (const program of programs) yield* this.#sendStoring(program);
      yield* cluster.advance(this.#random.nextInt(40) * 10);
      for (let loss = 0; loss < plan.losses; loss++) {
        yield* this.#loseAll(loss);
        if (loss + 1 < plan.losses) yield* cluster.advance(300 + this.#random.nextInt(2700));
      }
      return yield* this.#continueAll();
    });
  }

  #trim(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { store } = this.#cluster;
      for (let topic = 0; topic < this.#plan.sliceTopics; topic++) {
        for (let part = 0; part < PARTS; part++) {
          const partition = { topic: `slices-${topic}`, part };
          const page = yield* Effect.orDie(store.read(partition, { from: 0, waitMs: 0 }));
          yield* Effect.orDie(store.trim(partition, this.#random.nextInt(page.end + 1)));
        }
      }
    });
  }

  /** Sends the next turn of a program, or one that continues the turn of another. */
  #sendStoring(program: string): Effect.Effect<unknown> {
    const { names } = this.#cluster;
    const id = `t${this.#nextTurn++}`;
    const isOther = this.#random.nextInt(6) === 0 && this.#stored.length > 0;
    const previousTurn = isOther
      ? this.#stored[this.#random.nextInt(this.#stored.length)]
      : this.#tips.get(program);
    const sending = this.#cluster.send(names[this.#random.nextInt(names.length)], {
      route: RoutePath.KeptTurn,
      caller: CallerKind.Program,
      name: `${id}/`,
      callerId: isOther ? `${program}-sub${id}` : program,
      id,
      body: "x".repeat(1 + this.#random.nextInt(2000)),
      previousTurn,
      deadlineMs: DEADLINE_MS,
    });
    return Effect.forkDetach(Effect.map(sending, ({ status, isEnded }) => {
      if (status !== 200 || !isEnded) return;
      this.#stored.push(id);
      if (!isOther) this.#tips.set(program, id);
    }));
  }

  #loseAll(loss: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const cluster = this.#cluster;
      const plan = this.#plan;
      if (plan.reassigns) {
        this.#group.reassignAll(1 + this.#random.nextInt(plan.instances));
        yield* cluster.advance(this.#random.nextInt(60) * 10);
      }
      if (this.#random.nextInt(2) === 0) {
        this.#trouble = plan.trouble;
        yield* cluster.advance(this.#random.nextInt(60) * 10);
      }
      const lost = cluster.names;
      for (const name of lost) {
        this.#powerless.add(name);
        yield* cluster.kill(name);
      }
      this.#trouble = plan.trouble;
      yield* cluster.advance(plan.lossMs);
      const isDown = plan.trouble === StoreTrouble.Down;
      if (isDown && plan.pausesGroup) this.#group.pause(plan.lossMs);
      let back = [...lost];
      if (plan.returning === Return.SomeNever) {
        back = lost.slice(0, Math.max(1, lost.length - 1 - this.#random.nextInt(lost.length)));
      }
      if (plan.returning === Return.NewNames) {
        back = lost.map((name, index) => index % 2 === 0 ? `${name}n${loss}` : name);
      }
      const order = back.map((name) => ({ name, key: this.#random.nextInt(1000) })).sort((a, b) =>
        a.key - b.key
      );
      if (plan.refusesInstance && back.length > 1) {
        this.#refused = order[this.#random.nextInt(order.length)].name;
      }
      for (const { name } of order) {
        this.#powerless.delete(name);
        yield* cluster.start(name);
        if (plan.returning === Return.OneByOne) yield* cluster.advance(plan.staggerMs);
        if (plan.reassigns && this.#random.nextInt(4) === 0) {
          this.#group.reassignAll(1 + this.#random.nextInt(plan.instances));
        }
      }
      yield* cluster.advance(this.#random.nextInt(150) * 10);
      this.#trouble = StoreTrouble.None;
    });
  }

  #continueAll(): Effect.Effect<IPowerLossOutcome> {
    return Effect.gen({ self: this }, function* () {
      const cluster = this.#cluster;
      const returnedAtMs = cluster.nowMs;
      const unserved: IUnserved[] = [];
      const firstUnserved: IUnserved[] = [];
      const refusedUnserved: IUnserved[] = [];
      const tips = [...new Set([...this.#tips.values(), ...this.#stored.slice(-8)])];
      while (cluster.nowMs < returnedAtMs + RECOVERY_MS) {
        for (const turn of tips) yield* this.#probe(turn, { returnedAtMs, unserved });
        for (let first = 0; first < 4; first++) {
          yield* this.#probe(undefined, { returnedAtMs, unserved: firstUnserved });
        }
        if (this.#refused !== "") {
          for (const turn of tips) {
            yield* this.#probe(turn, { returnedAtMs, unserved: refusedUnserved, through: this.#refused });
          }
        }
        yield* cluster.advance(SEND_INTERVAL_MS);
      }
      yield* cluster.advance(3500);
      return {
        plan: this.#plan,
        stored: this.#stored.length,
        sent: this.#sent,
        unserved,
        firstUnserved,
        refusedUnserved,
      };
    });
  }

  #probe(
    previousTurn: string | undefined,
    { returnedAtMs, unserved, through: fixed }: {
      returnedAtMs: number;
      unserved: IUnserved[];
      through?: string;
    },
  ): Effect.Effect<unknown> {
    const cluster = this.#cluster;
    const names = cluster.names.filter((name) => name !== this.#refused);
    const id = `c${this.#nextTurn++}`;
    const through = fixed ?? names[this.#random.nextInt(names.length)];
    const afterReturnMs = cluster.nowMs - returnedAtMs;
    this.#sent += 1;
    const gateway = cluster.gateways.get(through)!;
    const sending = cluster.send(through, {
      route: RoutePath.KeptTurn,
      caller: CallerKind.Program,
      name: `${id}/`,
      callerId: `prog${id}`,
      id,
      body: "x",
      previousTurn,
      deadlineMs: DEADLINE_MS,
    });
    return Effect.forkDetach(Effect.map(sending, ({ status, isEnded }) => {
      if (status === 200 && isEnded) return;
      const { reason, ownerWaits } = gateway.lines.map((line) => JSON.parse(line) as Record<string, unknown>)
        .find(({ event, request }) => event === "request" && request === id) ?? {};
      unserved.push({
        turn: previousTurn ?? "",
        through,
        afterReturnMs,
        status,
        cause: { reason, ownerWaits },
      });
    }));
  }

  #callStore({ instance, method, args, run }: IStoreCall): Effect.Effect<unknown, StoreError> {
    return Effect.suspend(() => {
      if (instance === this.#refused) return this.#refusal();
      if (this.#isOverLimit(method)) return this.#refusal();
      const { topic } = (args[0] ?? {}) as { topic?: string };
      switch (this.#trouble) {
        case StoreTrouble.None:
          return this.#delayed(run, 2 + this.#random.nextInt(10));
        case StoreTrouble.Slow:
          return this.#delayed(run, 20 + this.#random.nextInt(600));
        case StoreTrouble.Lossy:
          if (this.#random.nextInt(4) > 0) return this.#delayed(run, 10 + this.#random.nextInt(60));
          return this.#random.nextInt(2) === 0 ? this.#lost(Effect.void) : this.#lost(Effect.ignore(run));
        case StoreTrouble.Late:
          if (method !== "append" || this.#random.nextInt(3) > 0) return this.#delayed(run, 5);
          return this.#lost(Effect.ignore(Effect.delay(run, 500 + this.#random.nextInt(4000))));
        case StoreTrouble.PartAway:
          if (topic?.startsWith("slices") && Number((args[0] as { part: number }).part) % 3 === 0) {
            return this.#random.nextInt(2) === 0 ? this.#refusal() : this.#lost(Effect.void);
          }
          return this.#delayed(run, 5);
        case StoreTrouble.Down:
          return this.#random.nextInt(2) === 0 ? this.#refusal() : this.#lost(Effect.void);
        case StoreTrouble.Limited:
          return this.#random.nextInt(5) > 0 ? this.#refusal() : this.#delayed(run, 5);
      }
    });
  }

  #isOverLimit(method: string): boolean {
    const window = Math.floor(this.#cluster.nowMs / 100);
    if (window !== this.#windowMs) {
      this.#windowMs = window;
      this.#reads = 0;
      this.#writes = 0;
    }
    if (method === "join") this.#writes += 0.1;
    else if (method === "append" || method === "writeKeys" || method === "trim") this.#writes += 1;
    else this.#reads += 1;
    return this.#writes > WRITES_PER_S / 10 || this.#reads > READS_PER_S / 10;
  }

  #refusal(): Effect.Effect<never, StoreError> {
    return Effect.delay(Effect.fail(new StoreError(StoreFault.Refused, "refused")), 5);
  }

  #delayed<A>(run: Effect.Effect<A, StoreError>, ms: number): Effect.Effect<A, StoreError> {
    return Effect.delay(run, ms);
  }

  /** Executes what a lost call leaves behind, although its caller may have ended. */
  #lost(executed: Effect.Effect<void>): Effect.Effect<never, StoreError> {
    const failure = Effect.fail(new StoreError(StoreFault.NoResponse, "no answer"));
    return Effect.andThen(Effect.forkDetach(executed), Effect.delay(failure, STORE_TIMEOUT_MS));
  }
}
