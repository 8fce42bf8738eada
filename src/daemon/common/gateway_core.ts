/** The parts of one gateway and how they hang together, without its listeners. */
import type { Scope } from "effect";
import { Effect } from "effect";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { KeyedSnapshot } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { CrashStrikes } from "../../call/common/crash_strikes.ts";
import { GatewayRelay } from "../../call/common/gateway_relay.ts";
import type { ICallCodec, IUpstream } from "../../call/common/opaque_call.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import { ServiceClients } from "../../membership/common/peer_client.ts";
import { BackendLoads } from "../../routing/common/backend_loads.ts";
import { CrowdingAdmission } from "../../routing/common/program_admission.ts";
import { PromptCacheMap } from "../../routing/common/prompt_cache_map.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { ICallerLimits } from "../../services/routes/common/route_table.ts";
import { RouteTable } from "../../services/routes/common/route_table.ts";
import type { GatewaySettings } from "../../services/settings/common/gen/gateway_settings.ts";
import type { IKeyedUpdate } from "../../services/store/common/keyed_topic_follower.ts";
import { KeyedTopicFollower } from "../../services/store/common/keyed_topic_follower.ts";
import type { IKeyedItems, IPartition } from "../../services/store/common/partitioned_log.ts";
import type { IPlatformAdapter } from "../../services/store/common/platform_adapter.ts";
import type { IHeldSlice } from "../../turns/common/slice_journal.ts";
import type { ISpendingRecord } from "../../turns/common/spending_ledger.ts";
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
/** Time limit of a short call to a peer, in ms. */
const PEER_TIMEOUT_MS = 300;
/** Pause between two looks at a peer's snapshot while the store does not answer, in ms. */
const SNAPSHOT_INTERVAL_MS = 700;

/** What a gateway needs from outside. */
export interface IGatewayOutside {
  readonly adapter: IPlatformAdapter;
  readonly codec: ICallCodec;
  readonly logger: ILogger;
  readonly transports: IPeerTransports;
  readonly upstream: IUpstream;
  /** Ends the connections to a server that is listed no longer. */
  readonly forgetBackend: (entry: IBackendEntry) => void;
  /** Puts bounds on callers in force. */
  readonly limitCallers: (limits: ICallerLimits) => void;
  /** Unix time in ms. */
  readonly now: () => number;
  /** Draws a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Draws the identity of a new ownership of a slice. */
  readonly newWriter: () => bigint;
}

type TurnClients = ServiceClients<typeof TurnService>;

export class GatewayCore {
  readonly metrics = new Metrics();
  readonly routes = new RouteTable();
  readonly directory: BackendDirectory;
  readonly loads: BackendLoads;
  readonly caches = new PromptCacheMap();
  readonly strikes: CrashStrikes;
  readonly configuration: KeyedTopicFollower;
  readonly backends: KeyedTopicFollower;
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly relay: GatewayRelay;
  readonly #settings: GatewaySettings;
  readonly #outside: IGatewayOutside;
  readonly #peers: TurnClients;

  constructor(settings: GatewaySettings, outside: IGatewayOutside) {
    const { adapter, logger, now } = outside;
    this.#settings = settings;
    this.#outside = outside;
    this.directory = new BackendDirectory(logger, now);
    this.loads = new BackendLoads(now);
    this.strikes = new CrashStrikes(now);
    this.#peers = new ServiceClients(TurnService, outside.transports);
    const follow = { log: adapter.log, logger };
    this.configuration = new KeyedTopicFollower({
      ...follow,
      topic: adapter.configurationTopic,
      waitMs: CONFIGURATION_WAIT_MS,
      pauseMs: CONFIGURATION_PAUSE_MS,
    });
    this.backends = new KeyedTopicFollower({
      ...follow,
      topic: adapter.backendTopic,
      waitMs: 0,
      pauseMs: BACKENDS_PAUSE_MS,
    });
    const partitions = slicePartitions(settings);
    const { newWriter } = outside;
    const { instance, peerAddress: address } = settings;
    const askRelease = (held: IHeldSlice) => this.#askRelease(held);
    this.owned = new OwnedSlices({ ...follow, instance, address, partitions, newWriter, askRelease });
    const askPeer = (peer: string) => this.#fetchTable(peer);
    this.group = new SliceGroup({ ...follow, address, partitions, owned: this.owned, askPeer });
    this.relay = this.#makeRelay();
    this.#subscribe();
  }

  /** Whether the instance knows enough to serve callers. */
  get isServing(): boolean {
    return this.routes.configuration !== undefined && this.directory.size > 0;
  }

  /** Follows the store and the peers until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* this.configuration.start();
      yield* this.backends.start();
      yield* this.group.start();
      yield* Effect.forkScoped(this.#followPeers());
    });
  }

  /** Hands all slices over and notifies the peers. */
  leave(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.group.leave();
      const tell = (peer: string) => Effect.forkChild(this.#notifyReassigned(peer));
      yield* Effect.forEach(this.group.peers, tell, { discard: true });
    });
  }

  #makeRelay(): GatewayRelay {
    const { codec, upstream, logger, random } = this.#outside;
    const { peerAddress, zone } = this.#settings;
    const turns = new TurnClient({
      owned: this.owned,
      group: this.group,
      peers: this.#peers,
      logger,
      address: peerAddress,
    });
    return new GatewayRelay({
      codec,
      routes: this.routes,
      directory: this.directory,
      loads: this.loads,
      caches: this.caches,
      turns,
      admission: new CrowdingAdmission(),
      strikes: this.strikes,
      upstream,
      logger,
      metrics: this.metrics,
      zone,
      random,
      isConfigurationStale: () => this.configuration.isFailing,
    });
  }

  #subscribe(): void {
    this.directory.onDidRemove((entry) => {
      this.#outside.forgetBackend(entry);
      this.loads.forget(entry);
      this.caches.forget(entry.id);
    });
    this.configuration.onDidUpdate((update) => this.#noteConfiguration(update));
    this.backends.onDidUpdate((update) => this.#noteBackend(update));
  }

  #noteConfiguration({ key, value }: IKeyedUpdate): void {
    const { adapter, logger, limitCallers } = this.#outside;
    if (key !== adapter.configurationKey || value === undefined) return;
    const cfg = adapter.decodeConfiguration(value);
    if (cfg === undefined) return logger.warn("configuration-unreadable", { bytes: value.length });
    const isAdopted = this.routes.adopt(cfg);
    logger.info("configuration", { version: cfg.version, isAdopted, routes: cfg.routes.length });
    if (isAdopted) limitCallers(cfg.limits);
  }

  #noteBackend({ key, value, isAfterOutage }: IKeyedUpdate): void {
    const entry = value === undefined ? undefined : this.#outside.adapter.decodeBackend(key, value);
    if (entry !== undefined) this.directory.put(entry);
    else this.directory.remove(key, { mayBeLapsed: isAfterOutage && value === undefined });
  }

  /** Takes up what peers know, while this instance cannot read the store itself. */
  #followPeers(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(SNAPSHOT_INTERVAL_MS);
        if (!this.configuration.isFailing && !this.backends.isFailing) continue;
        const { seeds, peerAddress } = this.#settings;
        const known = [...new Set([...this.group.peers, ...seeds])].filter((peer) => peer !== peerAddress);
        if (known.length === 0) continue;
        const snapshot = yield* this.#fetchSnapshot(known[Math.floor(this.#outside.random() * known.length)]);
        if (snapshot === undefined) continue;
        if (snapshot.configuration !== undefined) this.configuration.adopt(itemsOf(snapshot.configuration));
        if (snapshot.backends !== undefined) this.backends.adopt(itemsOf(snapshot.backends));
        if (snapshot.owners.length > 0) this.group.adopt(tableOf(snapshot));
      }
    });
  }

  #fetchSnapshot(peer: string) {
    const call = this.#peers.call(peer, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.getSnapshot({}, { signal }),
    });
    return Effect.catchTag(call, "PeerError", (err) => {
      this.#outside.logger.info("peer-snapshot-failed", { peer, error: err.message });
      return Effect.succeed(undefined);
    });
  }

  #fetchTable(peer: string): Effect.Effect<IOwnerTable | undefined> {
    return Effect.map(
      this.#fetchSnapshot(peer),
      (snapshot) => snapshot === undefined ? undefined : tableOf(snapshot),
    );
  }

  #askRelease({ slice, writer, holder }: IHeldSlice): Effect.Effect<readonly ISpendingRecord[] | undefined> {
    const call = this.#peers.call(holder, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.releaseSlice({ slice, writer }, { signal }),
    });
    return call.pipe(
      Effect.map(({ isReleased, programs }) => isReleased ? programs : undefined),
      Effect.catchTag("PeerError", (err) => {
        this.#outside.logger.info("slice-not-released", { slice, holder, error: err.message });
        return Effect.succeed(undefined);
      }),
    );
  }

  #notifyReassigned(peer: string): Effect.Effect<void> {
    const call = this.#peers.call(peer, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.reassigned({}, { signal }),
    });
    // A peer that is not notified learns it with its next renewal.
    const log = (err: Error) => this.#outside.logger.info("peer-not-notified", { peer, error: err.message });
    return Effect.asVoid(Effect.catchTag(call, "PeerError", (err) => Effect.sync(() => log(err))));
  }
}

/** The partitions that hold the slices, in the order of the slices' numbers. */
function slicePartitions({ sliceTopics, storeParts }: GatewaySettings): IPartition[] {
  return Array.from({ length: sliceTopics * storeParts }, (_, slice) => ({
    topic: `slices-${Math.floor(slice / storeParts)}`,
    part: slice % storeParts,
  }));
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
