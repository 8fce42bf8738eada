/**
 * After all instances have lost power, programs are not told that their budget is exhausted while delivered tokens leave room
 * for another turn, and receive at most their budget plus one turn.
 */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { SeededRandom } from "../demo/random.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const OPTIONS = { instances: 4, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
const TURN_TOKENS = 44;
const PROGRAMS = 12;
const SEEDS = [1, 2, 3, 4, 5];
const MAX_STORED_AGE_MS = 1500;
const BODY_MS = [40, 700];
const MAX_LOSSES = 3;
const MAX_STAGGER_MS = 1000;
const REASSIGNMENT_MS = 3000;
const MAX_TURNS = 8;

interface IProgram {
  readonly id: string;
  /** Number of turns that the budget covers exactly. */
  readonly turns: number;
  /** Id of the stored turn that the next ones continue. */
  stored: string | undefined;
  /** Statuses of the responses, in the order of sending. */
  readonly statuses: number[];
}

/** A deployment in which all instances are lost; determined by its seed. */
class PowerLoss {
  readonly #cluster: GatewayCluster;
  readonly #random: SeededRandom;
  readonly programs: readonly IProgram[];
  /** Slices that were claimed without a direct handover from their former owner. */
  failedHandovers = 0;
  #nextTurn = 0;

  constructor(cluster: GatewayCluster, { seed, prefix }: { seed: number; prefix: string }) {
    this.#cluster = cluster;
    this.#random = new SeededRandom(seed);
    this.programs = Array.from({ length: PROGRAMS }, (_, index) => {
      return { id: `${prefix}${seed}-${index}`, turns: 1 + index % 4, stored: undefined, statuses: [] };
    });
  }

  /** Sends one turn of each program at the same time; with the id of the stored one that it continues, if there is one. */
  sendTurns(programs: readonly IProgram[], { waitMs }: { waitMs: number }): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const program of programs) yield* this.#send(program);
      yield* this.#cluster.advance(waitMs);
    });
  }

  #send(program: IProgram): Effect.Effect<unknown> {
    const { names } = this.#cluster;
    const id = `turn${this.#nextTurn++}`;
    const sending = this.#cluster.send(names[this.#random.nextInt(names.length)], {
      route: RoutePath.KeptTurn,
      caller: CallerKind.Program,
      name: `${program.id}/`,
      callerId: program.id,
      id,
      body: "x",
      budgetTokens: program.turns * TURN_TOKENS,
      previousTurn: program.stored,
    });
    const index = program.statuses.push(0) - 1;
    return Effect.forkDetach(Effect.map(sending, ({ status, isEnded }) => {
      program.statuses[index] = status;
      if (status === 200 && isEnded) program.stored ??= id;
    }));
  }

  /** Loses all instances one or more times; they return one after the other and take slices that are then reassigned. */
  loseAll(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const losses = 1 + this.#random.nextInt(MAX_LOSSES);
      for (let loss = 0; loss < losses; loss++) {
        const lost = [...this.#cluster.names];
        for (const name of lost) {
          yield* this.#cluster.kill(name);
          yield* this.#cluster.store.leave("slices", `${name}:3`);
        }
        for (const name of lost) {
          yield* this.#cluster.start(name);
          // The direct handover of slices from this instance fails.
          this.#cluster.gateways.get(name)!.isPeerDisconnected = this.#random.nextInt(2) === 0;
          yield* this.#cluster.advance(this.#random.nextInt(MAX_STAGGER_MS / lost.length));
        }
      }
      yield* this.#cluster.advance(REASSIGNMENT_MS);
      for (const gateway of this.#cluster.gateways.values()) gateway.isPeerDisconnected = false;
      this.failedHandovers = this.#cluster.linesOf("slice-not-released").length;
    });
  }

  /** Continues each program until it is refused for its budget; several turns at a time if they are parallel. */
  continueAll({ parallel }: { parallel: number }): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let sent = 0; sent < MAX_TURNS; sent++) {
        const open = this.programs.filter(({ statuses }) => !statuses.includes(402));
        yield* this.sendTurns(Array.from({ length: parallel }, () => open).flat(), { waitMs: 3000 });
      }
    });
  }

  /** Programs that were refused although their delivered turns left room, and programs that received too many turns. */
  faults(): string[] {
    return this.programs.flatMap(({ id, turns, statuses }) => {
      const runs = this.#cluster.runsOf(`${id}/`);
      if (runs >= turns && runs <= turns + 1) return [];
      return [`${id}: ${runs} turns of ${turns}, ${statuses.join(" ")}`];
    });
  }
}

test("turns that continue stored ones are granted after all instances have lost power", async (t) => {
  const faults: string[] = [];
  for (const seed of SEEDS) {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const loss = new PowerLoss(cluster, { seed, prefix: "before" });
        // A longer turn is in a record as running, and the record of its end is lost.
        cluster.fleet.bodyMs = BODY_MS[seed % BODY_MS.length];
        const waitMs = cluster.fleet.bodyMs + 300 + (seed * 397) % MAX_STORED_AGE_MS;
        yield* loss.sendTurns(loss.programs, { waitMs });
        for (const { statuses, id } of loss.programs) t.deepEqual(statuses, [200], id);
        yield* loss.loseAll();
        t.true(loss.failedHandovers > 0);
        yield* loss.continueAll({ parallel: 1 });
        faults.push(...loss.faults());
      }));
  }
  t.deepEqual(faults, []);
});

test("programs that begin after a loss of all instances can use their whole budget with parallel turns", async (t) => {
  const faults: string[] = [];
  for (const seed of SEEDS) {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const loss = new PowerLoss(cluster, { seed, prefix: "after" });
        yield* loss.loseAll();
        t.true(loss.failedHandovers > 0);
        yield* loss.sendTurns(loss.programs, { waitMs: 1000 });
        yield* loss.continueAll({ parallel: 2 });
        faults.push(...loss.faults());
      }));
  }
  t.deepEqual(faults, []);
});

test("programs that begin between two losses of all instances can use their whole budget", async (t) => {
  const faults: string[] = [];
  for (const seed of SEEDS) {
    await GatewayCluster.run(OPTIONS, (cluster) =>
      Effect.gen(function* () {
        const loss = new PowerLoss(cluster, { seed, prefix: "between" });
        yield* loss.loseAll();
        yield* loss.sendTurns(loss.programs, { waitMs: 1500 });
        yield* loss.loseAll();
        t.true(loss.failedHandovers > 0);
        yield* loss.continueAll({ parallel: 1 });
        faults.push(...loss.faults());
      }));
  }
  t.deepEqual(faults, []);
});
