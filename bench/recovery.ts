/**
 * Time from the loss of an owner to the next served step, under virtual time with instances in one
 * process: kill, pause, cut from everything, and planned hand-over, at several sizes.
 */
import process from "node:process";
import { Clock, Effect, Result } from "effect";
import { Cluster } from "../test/harness/cluster.ts";
import { renderTable } from "../src/cli/common/output.ts";

const SIZES = [4, 8, 16, 32];
const PROGRAMS = 24;

enum Loss {
  Kill = "kill",
  Pause = "pause",
  Cut = "cut",
  HandOver = "hand-over",
}

interface IOutcome {
  readonly recoveredMs: number;
  readonly appends: number;
  readonly refused: number;
}

/** Loses the owner of some programs and waits until all of them have served one more step. */
function measure(cluster: Cluster, loss: Loss): Effect.Effect<IOutcome, unknown> {
  return Effect.gen(function* () {
    const opened = Array.from(
      { length: PROGRAMS },
      (_, index) => cluster.open(`n${index % cluster.live.length}`),
    );
    const programs = yield* cluster.drive(Effect.all(opened, { concurrency: "unbounded" }));
    const owner = cluster.ownerOf(programs[0]);
    const moved = programs.filter((program) => cluster.ownerOf(program) === owner);
    const via = cluster.otherThan(owner);
    const appendsBefore = cluster.log.appendCount;
    const lostAt = yield* Clock.currentTimeMillis;
    switch (loss) {
      case Loss.Kill:
        yield* cluster.kill(owner);
        break;
      case Loss.Pause:
        cluster.freeze(owner);
        break;
      case Loss.Cut:
        cluster.isolate(owner);
        break;
      case Loss.HandOver:
        yield* Effect.forkDetach(cluster.drain(owner));
        break;
    }
    let refused = 0;
    const serve = (program: string) =>
      Effect.gen(function* () {
        while (true) {
          const call = cluster.callService(via, { program, step: 1, operation: "read" });
          const outcome = yield* Effect.result(call);
          if (Result.isSuccess(outcome)) return;
          refused += 1;
          yield* Effect.sleep(Math.max(20, outcome.failure.retryAfterMs));
        }
      });
    yield* cluster.drive(Effect.all(moved.map(serve), { concurrency: "unbounded" }));
    const recoveredMs = (yield* Clock.currentTimeMillis) - lostAt;
    return { recoveredMs, appends: cluster.log.appendCount - appendsBefore, refused };
  });
}

const rows: Record<string, unknown>[] = [];
for (const nodes of SIZES) {
  const results = new Map<Loss, IOutcome>();
  for (const loss of Object.values(Loss)) {
    results.set(loss, await Cluster.run({ nodes }, (cluster) => measure(cluster, loss)));
  }
  const base = results.get(Loss.HandOver)!.recoveredMs;
  for (const [loss, outcome] of results) {
    rows.push({ nodes, loss, ...outcome, ratio_to_hand_over: (outcome.recoveredMs / base).toFixed(1) });
  }
}
console.log(renderTable(rows));
process.exit(0);
