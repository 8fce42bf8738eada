/**
 * Measures the time from the loss of a program's owner to the next completed step, in virtual time with
 * all instances in one process: kill, pause, network isolation and planned handover, at several sizes.
 */
import process from "node:process";
import { Clock, Effect, Result } from "effect";
import { Cluster } from "../test/harness/cluster.ts";
import { renderTable } from "../src/cli/common/output.ts";

const NODE_COUNTS = [4, 8, 16, 32];
const PROGRAM_COUNT = 24;

enum OwnerLoss {
  Kill = "kill",
  Pause = "pause",
  NetworkIsolation = "cut",
  PlannedHandover = "hand-over",
}

interface IRecovery {
  readonly recoveredMs: number;
  readonly appends: number;
  readonly refused: number;
}

/** Makes one owner unavailable and waits until each of its programs has completed one more step. */
function measureRecovery(cluster: Cluster, loss: OwnerLoss): Effect.Effect<IRecovery, unknown> {
  return Effect.gen(function* () {
    const opened = Array.from(
      { length: PROGRAM_COUNT },
      (_, index) => cluster.open(`n${index % cluster.liveNodes.length}`),
    );
    const programs = yield* cluster.runToCompletion(Effect.all(opened, { concurrency: "unbounded" }));
    const owner = cluster.ownerOf(programs[0]);
    const affected = programs.filter((program) => cluster.ownerOf(program) === owner);
    const entryInstance = cluster.anyOtherNode(owner);
    const appendsBefore = cluster.log.appendCount;
    const lostAt = yield* Clock.currentTimeMillis;
    switch (loss) {
      case OwnerLoss.Kill:
        yield* cluster.kill(owner);
        break;
      case OwnerLoss.Pause:
        cluster.freeze(owner);
        break;
      case OwnerLoss.NetworkIsolation:
        cluster.isolate(owner);
        break;
      case OwnerLoss.PlannedHandover:
        yield* Effect.forkDetach(cluster.drain(owner));
        break;
    }
    let refused = 0;
    const completeStep = (program: string) =>
      Effect.gen(function* () {
        while (true) {
          const call = cluster.callService(entryInstance, { program, step: 1, operation: "read" });
          const result = yield* Effect.result(call);
          if (Result.isSuccess(result)) return;
          refused += 1;
          yield* Effect.sleep(Math.max(20, result.failure.retryAfterMs));
        }
      });
    yield* cluster.runToCompletion(Effect.all(affected.map(completeStep), { concurrency: "unbounded" }));
    const recoveredMs = (yield* Clock.currentTimeMillis) - lostAt;
    return { recoveredMs, appends: cluster.log.appendCount - appendsBefore, refused };
  });
}

const rows: Record<string, unknown>[] = [];
for (const nodes of NODE_COUNTS) {
  const recoveries = new Map<OwnerLoss, IRecovery>();
  for (const loss of Object.values(OwnerLoss)) {
    recoveries.set(loss, await Cluster.run({ nodes }, (cluster) => measureRecovery(cluster, loss)));
  }
  const handoverMs = recoveries.get(OwnerLoss.PlannedHandover)!.recoveredMs;
  for (const [loss, recovery] of recoveries) {
    rows.push({
      nodes,
      loss,
      ...recovery,
      ratio_to_hand_over: (recovery.recoveredMs / handoverMs).toFixed(1),
    });
  }
}
console.log(renderTable(rows));
process.exit(0);
