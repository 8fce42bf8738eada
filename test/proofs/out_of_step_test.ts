/**
 * Guards against answers that are joined from two software versions by an instance that has missed what others did: cut off from
 * them or standing still, it knows an earlier try of a stream, and not the one that its caller resumes.
 */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";
import type { RecordingSink } from "../stand_ins/recording_sink.ts";

const STREAMS = 24;
/** Time after which each stream has brought its first event and not its second, in ms. */
const FIRST_EVENT_MS = 60;
const RUN_MS = 600;
const OPTIONS = {
  instances: 4,
  crashForm: CrashForm.MidBody,
  restartForm: RestartForm.NewId,
  softwareVersions: ["v1", "v1.1"],
};
const OUT_OF_STEP = "g0";

/** How the instance is out of step, and whether it still is when streams are taken up. */
enum Gap {
  CutOff = "is cut off from the others",
  BackInContact = "was cut off until a moment ago",
  /** Nothing reaches it meanwhile; calls to others succeed as soon as it goes on. */
  StoodStill = "stood still until this moment",
}

interface IResumed {
  readonly name: string;
  /** What the caller had received before it resumed the stream. */
  readonly before: string;
  readonly after: RecordingSink;
}

function versionsIn(text: string): string[] {
  return [...new Set([...text.matchAll(/data: (.*)/g)].map(([, version]) => version))];
}

/** Sends all streams from the start; each caller leaves after the first event. Returns what was received, by name. */
function sendTries(
  cluster: GatewayCluster,
  { route, round, through }: { route: RoutePath; round: number; through: readonly string[] },
): Effect.Effect<Map<string, string>> {
  return Effect.gen(function* () {
    const texts = new Map<string, string>();
    for (let index = 0; index < STREAMS; index++) {
      const name = `stream-${index}`;
      const id = `try-${round}-${index}`;
      const caller = CallerKind.Program;
      const req = { route, name, id, caller, body: "x", leaveAfterMs: FIRST_EVENT_MS };
      const sending = cluster.send(through[index % through.length], req);
      yield* Effect.forkDetach(Effect.map(sending, ({ text }) => void texts.set(name, text)));
    }
    yield* cluster.advance(FIRST_EVENT_MS + 20);
    return new Map([...texts].filter(([, text]) => text.includes("id: 1")));
  });
}

function setVersionListed(cluster: GatewayCluster, version: string, isListed: boolean): void {
  for (const server of cluster.fleet.servers) {
    if (server.softwareVersion !== version) continue;
    server.isSilent = !isListed;
    if (!isListed) cluster.fleet.unlist(server);
  }
  if (isListed) cluster.fleet.sendHeartbeats();
}

function setInContact(cluster: GatewayCluster, isInContact: boolean): void {
  cluster.isReportLost = (from, to) => !isInContact && [from, to].includes(OUT_OF_STEP);
  cluster.gateways.get(OUT_OF_STEP)!.isPeerDisconnected = !isInContact;
}

/** Requests that keep all instances busy, so that they report to each other. */
function keepBusy(cluster: GatewayCluster, ms: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      for (const name of cluster.names) {
        const req = { route: RoutePath.Safe, name: `busy-${name}`, caller: CallerKind.None };
        yield* Effect.forkDetach(cluster.send(name, req));
      }
      yield* cluster.advance(50);
    }
  });
}

function play(gap: Gap, route: RoutePath): Promise<IResumed[]> {
  return GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      const others = cluster.names.filter((name) => name !== OUT_OF_STEP);
      yield* keepBusy(cluster, 3000);
      setVersionListed(cluster, "v1.1", false);
      yield* keepBusy(cluster, 1500);
      yield* sendTries(cluster, { route, round: 0, through: cluster.names });
      yield* keepBusy(cluster, 300);
      setInContact(cluster, false);
      // Servers of the new version join, and those of the old one are away for a moment.
      setVersionListed(cluster, "v1.1", true);
      setVersionListed(cluster, "v1", false);
      yield* keepBusy(cluster, 1500);
      const second = yield* sendTries(cluster, { route, round: 1, through: others });
      setVersionListed(cluster, "v1", true);
      yield* keepBusy(cluster, 1000);
      if (gap !== Gap.CutOff) setInContact(cluster, true);
      if (gap === Gap.BackInContact) yield* keepBusy(cluster, 500);
      const resumed: IResumed[] = [];
      for (const [name, before] of second) {
        const req = { route, name, caller: CallerKind.Program, body: "x", lastEventId: "1" };
        const sending = cluster.send(OUT_OF_STEP, req);
        yield* Effect.forkDetach(Effect.map(sending, (after) => void resumed.push({ name, before, after })));
      }
      yield* cluster.advance(RUN_MS);
      return resumed;
    }));
}

for (const route of [RoutePath.ResumableStream, RoutePath.ResumableTurn]) {
  for (const gap of Object.values(Gap)) {
    test(`no answer is joined from two versions by an instance that ${gap}, ${route}`, async (t) => {
      const resumed = await play(gap, route);
      t.true(resumed.length >= STREAMS / 2, `only ${resumed.length} streams were taken up`);
      const served = resumed.filter(({ after }) => after.status === 200);
      t.log({ served: served.length, refused: resumed.length - served.length });
      const joined = served.filter(({ before, after }) => versionsIn(before + after.text).length > 1);
      t.deepEqual(joined.map(({ name }) => name), []);
    });
  }
}
