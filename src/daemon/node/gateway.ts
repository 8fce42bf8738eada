/** One instance of the gateway as a process: its parts, its listeners, its start and its graceful stop. */
import { randomBytes } from "node:crypto";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { KeyedSnapshot } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { CrashStrikes } from "../../call/common/crash_strikes.ts";
import { GatewayRelay } from "../../call/common/gateway_relay.ts";
import type { ICallCodec } from "../../call/common/opaque_call.ts";
import { HttpUpstream } from "../../call/node/http_upstream.ts";
import { GatewayFront, ProbeServer } from "../../entry/node/gateway_front.ts";
import { ServiceClients } from "../../membership/common/peer_client.ts";
import { makeTurnService } from "../../peer/common/turn_service.ts";
import { Http1Transports, TurnServer } from "../../peer/node/http1_transports.ts";
import { LoadDatagrams } from "../../peer/node/load_datagrams.ts";
import { BackendLoads } from "../../routing/common/backend_loads.ts";
import { PromptCacheMap } from "../../routing/common/prompt_cache_map.ts";
import { CrowdingAdmission } from "../../routing/common/program_admission.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import { RouteTable } from "../../services/routes/common/route_table.ts";
import type { GatewaySettings } from "../../services/settings/common/gen/gateway_settings.ts";
import type { IKeyedUpdate } from "../../services/store/common/keyed_topic_follower.ts";
import { KeyedTopicFollower } from "../../services/store/common/keyed_topic_follower.ts";
import type { IKeyedItems, IPartition } from "../../services/store/common/partitioned_log.ts";
import type { IPlatformAdapter } from "../../services/store/common/platform_adapter.ts";
import { OwnedSlices } from "../../turns/common/owned_slices.ts";
import type { IOwnerTable } from "../../turns/common/slice_group.ts";
import { SliceGroup } from "../../turns/common/slice_group.ts";
import { TurnClient } from "../../turns/common/turn_client.ts";

/** Longest wait of a read for a new configuration, in ms: bounds how long a silent connection goes unnoticed. */
const CONFIGURATION_WAIT_MS = 1000;
/** Pause between two reads of the configuration, in ms. */
const CONFIGURATION_PAUSE_MS = 20;
/** Pause between two reads of the list of servers, in ms: a third of the time in which a leaving one gets no new work. */
const BACKENDS_PAUSE_MS = 600;
const MS_PER_SECOND = 1000;
/** Time limit of a short call to a peer, in ms. */
const PEER_TIMEOUT_MS = 300;
/** Pause between two looks at a peer's beliefs while the store does not answer, in ms. */
const BELIEFS_INTERVAL_MS = 700;
/** Time in which the balancer notices that an instance stops, in ms: two probes a second apart, and their lag. */
const UNREADY_MS = 2500;
/** Part of the grace period that is left for handing over and ending, in ms. */
const EXIT_MARGIN_MS = 600;
/** Interval at which the end of the last requests is looked for, in ms. */
const DRAIN_POLL_MS = 25;

export interface IGatewayOutside {
  readonly adapter: IPlatformAdapter;
  readonly codec: ICallCodec;
  readonly logger: ILogger;
}

/** A running gateway. */
export interface IGateway {
  /** Finishes the requests under way, hands the slices over, and returns. */
  readonly drain: Effect.Effect<void>;
}

type TurnClients = ServiceClients<typeof TurnService>;

/** Starts a gateway; it ends with the scope. */
export function startGateway(
  settings: GatewaySettings,
  { adapter, codec, logger }: IGatewayOutside,
): Effect.Effect<IGateway, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const context = yield* Effect.context<never>();
    const metrics = new Metrics();
    const now = () => Date.now();
    const routes = new RouteTable();
    const directory = new BackendDirectory(logger, now);
    const loads = new BackendLoads(now);
    const caches = new PromptCacheMap();
    const strikes = new CrashStrikes(now);
    const upstream = yield* own(new HttpUpstream(codec));
    const transports = yield* own(new Http1Transports());
    const peers: TurnClients = new ServiceClients(TurnService, transports);
    const follow = { log: adapter.log, logger };
    const configuration = new KeyedTopicFollower({
      ...follow,
      topic: adapter.configurationTopic,
      waitMs: CONFIGURATION_WAIT_MS,
      pauseMs: CONFIGURATION_PAUSE_MS,
    });
    const backends = new KeyedTopicFollower({
      ...follow,
      topic: adapter.backendTopic,
      waitMs: 0,
      pauseMs: BACKENDS_PAUSE_MS,
    });
    const partitions = slicePartitions(settings);
    const address = settings.peerAddress;
    const owned = new OwnedSlices({
      log: adapter.log,
      logger,
      instance: settings.instance,
      partitions,
      newWriter: () => randomBytes(8).readBigUInt64BE(),
    });
    const askPeer = (peer: string) => fetchTable(peers, peer);
    const group = new SliceGroup({ log: adapter.log, logger, address, partitions, owned, askPeer });
    const turns = new TurnClient({ owned, group, peers, logger, address });
    const relay = new GatewayRelay({
      codec,
      routes,
      directory,
      loads,
      caches,
      turns,
      admission: new CrowdingAdmission(),
      strikes,
      upstream,
      logger,
      metrics,
      zone: settings.zone,
      random: Math.random,
      isConfigurationStale: () => configuration.isFailing,
    });
    const front = yield* own(new GatewayFront({ relay, logger, context }));
    const reports = yield* own(
      new LoadDatagrams({
        instance: settings.instance,
        host: parseAddress(address).host,
        port: settings.datagramPort,
        loads,
        strikes,
        peerHosts: () => group.peers.map((peer) => parseAddress(peer).host),
        logger,
      }),
    );
    directory.onDidRemove((entry) => {
      upstream.forget(entry);
      loads.forget(entry);
      caches.forget(entry.id);
    });
    configuration.onDidUpdate(({ key, value }) => {
      if (key !== adapter.configurationKey || value === undefined) return;
      const cfg = adapter.decodeConfiguration(value);
      if (cfg === undefined) return logger.warn("configuration-unreadable", { bytes: value.length });
      const isAdopted = routes.adopt(cfg);
      logger.info("configuration", { version: cfg.version, isAdopted, routes: cfg.routes.length });
      if (isAdopted) front.limit(cfg.limits);
    });
    backends.onDidUpdate((update) => noteBackend({ update, adapter, directory }));

    let isStopping = false;
    const isReady = () => !isStopping && routes.configuration !== undefined && directory.size > 0;
    const probe = yield* own(new ProbeServer(() => ({ status: isReady() ? 200 : 503, body: "" })));
    const metricsServer = yield* own(new ProbeServer(() => ({ status: 200, body: metrics.render() })));
    const turnServer = yield* own(
      new TurnServer(makeTurnService({ owned, group, configuration, backends, context })),
    );
    yield* Effect.promise(() => turnServer.listen(parseAddress(address)));
    yield* Effect.promise(() => reports.listen());
    yield* Effect.promise(() => probe.listen(parseAddress(settings.probeAddress)));
    yield* Effect.promise(() =>
      metricsServer.listen({ host: parseAddress(address).host, port: settings.metricsPort })
    );
    yield* configuration.start();
    yield* backends.start();
    yield* group.start();
    yield* reports.start();
    yield* Effect.forkScoped(followPeers({ settings, peers, group, configuration, backends }));
    yield* Effect.promise(() => front.listen(parseAddress(settings.callerAddress)));
    logger.info("started", { callers: settings.callerAddress, peers: address, slices: partitions.length });

    const drain = Effect.gen(function* () {
      const startedAt = yield* Clock.currentTimeMillis;
      isStopping = true;
      logger.info("stopping", { active: front.activeCount });
      front.announceStop();
      yield* group.leave();
      yield* Effect.forEach(group.peers, (peer) => Effect.forkChild(tellReassigned(peers, peer)), {
        discard: true,
      });
      yield* Effect.sleep(UNREADY_MS);
      front.stopAccepting();
      const until = startedAt + settings.stopGraceS * MS_PER_SECOND - EXIT_MARGIN_MS;
      while (front.activeCount > 0 && (yield* Clock.currentTimeMillis) < until) {
        yield* Effect.sleep(DRAIN_POLL_MS);
      }
      logger.info("stopped", {
        tookMs: (yield* Clock.currentTimeMillis) - startedAt,
        active: front.activeCount,
      });
    });
    return { drain };
  });
}

function noteBackend(
  { update, adapter, directory }: {
    update: IKeyedUpdate;
    adapter: IPlatformAdapter;
    directory: BackendDirectory;
  },
): void {
  const { key, value, isAfterOutage } = update;
  const entry = value === undefined ? undefined : adapter.decodeBackend(key, value);
  if (entry !== undefined) directory.put(entry);
  else directory.remove(key, { mayBeLapsed: isAfterOutage && value === undefined });
}

/** The partitions that hold the slices, in the order of the slices' numbers. */
function slicePartitions({ sliceTopics, storeParts }: GatewaySettings): IPartition[] {
  return Array.from({ length: sliceTopics * storeParts }, (_, slice) => ({
    topic: `slices-${Math.floor(slice / storeParts)}`,
    part: slice % storeParts,
  }));
}

interface IFollowPeers {
  readonly settings: GatewaySettings;
  readonly peers: TurnClients;
  readonly group: SliceGroup;
  readonly configuration: KeyedTopicFollower;
  readonly backends: KeyedTopicFollower;
}

/** Takes up what peers know, while this instance cannot read the store itself. */
function followPeers({ settings, peers, group, configuration, backends }: IFollowPeers): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (true) {
      yield* Effect.sleep(BELIEFS_INTERVAL_MS);
      if (!configuration.isFailing && !backends.isFailing) continue;
      const known = [...new Set([...group.peers, ...settings.seeds])].filter((peer) =>
        peer !== settings.peerAddress
      );
      if (known.length === 0) continue;
      const peer = known[Math.floor(Math.random() * known.length)];
      const beliefs = yield* fetchBeliefs(peers, peer);
      if (beliefs === undefined) continue;
      if (beliefs.configuration !== undefined) configuration.adopt(itemsOf(beliefs.configuration));
      if (beliefs.backends !== undefined) backends.adopt(itemsOf(beliefs.backends));
      if (beliefs.owners.length > 0) group.adopt(tableOf(beliefs));
    }
  });
}

function fetchBeliefs(peers: TurnClients, peer: string) {
  const call = peers.call(peer, {
    timeoutMs: PEER_TIMEOUT_MS,
    invoke: (client, signal) => client.getBeliefs({}, { signal }),
  });
  return Effect.catchTag(call, "PeerError", () => Effect.succeed(undefined));
}

function fetchTable(peers: TurnClients, peer: string): Effect.Effect<IOwnerTable | undefined> {
  return Effect.map(
    fetchBeliefs(peers, peer),
    (beliefs) => beliefs === undefined ? undefined : tableOf(beliefs),
  );
}

function tellReassigned(peers: TurnClients, peer: string): Effect.Effect<void> {
  const call = peers.call(peer, {
    timeoutMs: PEER_TIMEOUT_MS,
    invoke: (client, signal) => client.reassigned({}, { signal }),
  });
  return Effect.asVoid(Effect.catchTag(call, "PeerError", () => Effect.void));
}

function tableOf(
  { generation, owners }: { generation: number; owners: readonly { slice: number; address: string }[] },
): IOwnerTable {
  const addresses: string[] = [];
  for (const { slice, address } of owners) addresses[slice] = address;
  return { generation, addresses };
}

function itemsOf({ items, end }: KeyedSnapshot): IKeyedItems {
  return { items, end };
}

function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

function own<T extends { dispose(): void }>(resource: T): Effect.Effect<T, never, Scope.Scope> {
  return Effect.acquireRelease(Effect.succeed(resource), () => Effect.sync(() => resource.dispose()));
}
