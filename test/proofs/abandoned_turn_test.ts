/** A turn that its entry instance gives up before it begins does not use up its program's budget. */
import test from "ava";
import { Effect } from "effect";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const OPTIONS = { instances: 3, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
/** Covers one turn of 44 tokens, and no second one. */
const BUDGET_TOKENS = 60;

/** Sends a turn and returns the status; 0 if the caller left. */
function sendTurn(
  cluster: GatewayCluster,
  { via, ...overrides }: Partial<IGatewayRequest> & { via: string },
): Effect.Effect<number> {
  return Effect.gen(function* () {
    const request = {
      route: RoutePath.Turn,
      caller: CallerKind.Program,
      name: "turn",
      body: "x",
      budgetTokens: BUDGET_TOKENS,
      ...overrides,
    };
    let status = 0;
    const sending = Effect.map(cluster.send(via, request), (sink) => {
      status = sink.status;
    });
    yield* Effect.forkDetach(sending);
    yield* cluster.advance(3000);
    return status;
  });
}

/** Returns an instance that does not own the slice of a program, and the owner. */
function entryAndOwner(cluster: GatewayCluster, programId: string): { entry: string; owner: string } {
  const { core } = cluster.gateways.get("g0")!;
  const owner = core.group.ownerOf(core.owned.sliceOf(programId)).split(":")[0];
  return { owner, entry: cluster.names.find((name) => name !== owner)! };
}

test("a program whose first turn was granted without the response arriving can still run it", async (t) => {
  const statuses = await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      const { entry, owner } = entryAndOwner(cluster, "p-turn");
      cluster.gateways.get(owner)!.losesPeerResponses = true;
      const first = yield* sendTurn(cluster, { via: entry });
      cluster.gateways.get(owner)!.losesPeerResponses = false;
      yield* cluster.advance(2000);
      return [first, yield* sendTurn(cluster, { via: entry }), yield* sendTurn(cluster, { via: entry })];
    }));
  t.deepEqual(statuses, [503, 200, 402]);
});

test("a program whose caller left while the turn's history was looked up can still run the turn", async (t) => {
  const statuses = await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      const { entry } = entryAndOwner(cluster, "p-turn");
      const kept = { route: RoutePath.KeptTurn, name: "turn", previousTurn: "missing" };
      const holder = cluster.gateways.get(entryAndOwner(cluster, "missing").owner)!;
      holder.losesPeerResponses = true;
      const left = yield* sendTurn(cluster, { via: entry, ...kept, leaveAfterMs: 200 });
      holder.losesPeerResponses = false;
      yield* cluster.advance(2000);
      return [left, yield* sendTurn(cluster, { via: entry })];
    }));
  t.deepEqual(statuses, [0, 200]);
});
