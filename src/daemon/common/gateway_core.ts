/**
 * Composition root of one gateway, which relays opaque requests to backend servers: its components and their
 * wiring, without its network listeners. The daemon, which runs the model and service calls of programs, has
 * its own composition root in `daemon_core.ts`.
 */
import type { Scope } from "effect";
import { Effect } from "effect";
import { hostOf } from "../../base/common/address.ts";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { GetSnapshotResponse } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ForwarderFinder } from "../../call/common/forwarder_finder.ts";
import { KnownInstances } from "../../call/common/known_instances.ts";
import { CrashMonitor } from "../../call/common/crash_monitor.ts";
import type { IConnectProbe } from "../../call/common/server_link_monitor.ts";
import { ServerLinkMonitor } from "../../call/common/server_link_monitor.ts";
import { ServerEndDetector } from "../../call/common/server_end_detector.ts";
import type { IForwardTransport } from "../../call/common/forwarding.ts";
import { ForwardingUpstream } from "../../call/common/forwarding_upstream.ts";
import { ForwardService } from "../../call/common/forward_service.ts";
import { AllotmentClient } from "../../call/common/allotment_client.ts";
import { AllotmentOwner } from "../../call/common/allotment_owner.ts";
import { HedgeLimitClient, HedgeLimitOwner } from "../../call/common/hedge_limit_client.ts";
import { OwnerCaller } from "../../call/common/owner_caller.ts";
import { PermitClient } from "../../call/common/permit_client.ts";
import { StreamOriginFinder } from "../../call/common/stream_origin_finder.ts";
import { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import { StreamOriginReplicator } from "../../call/common/stream_origin_replicator.ts";
import { ResponseMemoryPool } from "../../call/common/response_limits.ts";
import { StrikeReplicator } from "../../call/common/strike_replicator.ts";
import { DrainAdmission } from "../../call/common/drain_admission.ts";
import { GatewayRelay } from "../../call/common/gateway_relay.ts";
import type { RelayedCall } from "../../call/common/relayed_call.ts";
import type { IRequestCodec, IUpstream } from "../../call/common/opaque_request.ts";
import {
  isUsablePeerAddress,
  isUsableRun,
  isUsableStrike,
  toUsableItems,
} from "../../call/common/usable_messages.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { repeatWhenNeeded } from "../../base/common/periodic.ts";
import { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import { RequestProgress } from "../../routing/common/allotment_limiter.ts";
import { HedgeLimiter } from "../../routing/common/hedge_limiter.ts";
import { HedgingPolicy } from "../../routing/common/hedging_policy.ts";
import { UtilizationAdmission } from "../../routing/common/program_admission.ts";
import { LimitForwarder } from "../../peer/common/limit_forwarder.ts";
import { ReportContents } from "../../peer/common/report_contents.ts";
import { ReportExchange, ReportRole } from "../../peer/common/report_exchange.ts";
import { AllotmentShare } from "../../routing/common/allotment_share.ts";
import { SendRateLimiter } from "../../routing/common/send_rate_limiter.ts";
import { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { ICallerLimits, IRoutingConfiguration } from "../../services/routes/common/route_table.ts";
import { RouteTable } from "../../services/routes/common/route_table.ts";
import type { GatewaySettings } from "../../services/settings/common/gen/gateway_settings.ts";
import type { IKeyedUpdate } from "../../services/store/common/keyed_topic_follower.ts";
import { KeyedTopicFollower } from "../../services/store/common/keyed_topic_follower.ts";
import type { IPartition } from "../../services/store/common/partitioned_log.ts";
import type { IPlatformAdapter } from "../../services/store/common/platform_adapter.ts";
import type { ISliceOwnership } from "../../turns/common/slice_journal.ts";
import type { ISpendingRecord } from "../../turns/common/spending_ledger.ts";
import { OwnedSlices } from "../../turns/common/owned_slices.ts";
import type { IOwnerTable } from "../../turns/common/slice_group.ts";
import { SliceGroup } from "../../turns/common/slice_group.ts";
import { TurnClient } from "../../turns/common/turn_client.ts";

/** Long-poll timeout of configuration reads; also limits how long an unresponsive connection goes undetected. */
const CONFIGURATION_POLL_TIMEOUT_MS = 1000;
const CONFIGURATION_PAUSE_MS = 20;
/**
 * Age of the last configuration read from which the configuration may be stale: a long poll and the response of a slow
 * store.
 */
const MAX_CONFIGURATION_READ_AGE_MS = CONFIGURATION_POLL_TIMEOUT_MS + 500;
/** A third of the period within which a server that shuts down must stop receiving new requests. */
const BACKENDS_POLL_INTERVAL_MS = 600;
/**
 * Shortest outage in which the entry of a live server can expire, in heartbeat intervals: the platform removes it after
 * three intervals without a heartbeat, up to one of which may lie before the outage.
 */
const MIN_LAPSE_HEARTBEATS = 2;
const PEER_TIMEOUT_MS = 300;
/** Number of instances that are named to one that needs others to forward its requests. */
const MAX_NAMED_FORWARDERS = 12;
/** Interval at which a peer's snapshot is fetched while the store is unavailable. */
const SNAPSHOT_INTERVAL_MS = 700;

/** Interfaces, platform adapter and sources of time and randomness that a gateway runs on. */
export interface IGatewayDependencies {
  readonly adapter: IPlatformAdapter;
  readonly codec: IRequestCodec;
  readonly logger: ILogger;
  readonly transports: IPeerTransports;
  /** Sends requests from this instance. */
  readonly upstream: IUpstream;
  /** Has other instances send requests. */
  readonly forwardTransport: IForwardTransport;
  readonly connectProbe: IConnectProbe;
  /** Closes the idle connections to all backend servers. */
  readonly closeIdleBackendConnections: () => void;
  /** Closes the connections to a backend server that is no longer listed. */
  readonly closeBackendConnections: (entry: IBackendEntry) => void;
  /** Applies the configured limits on callers' requests. */
  readonly applyCallerLimits: (limits: ICallerLimits) => void;
  /** Unix time in ms. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Generates the writer id of a new ownership of a slice. */
  readonly newWriter: () => bigint;
}

/** Longest part of an id of another writer that is logged. */
const MAX_LOGGED_ID_CHARS = 64;
/** Number of unusable entries that are remembered, so that each is logged only once. */
const MAX_REMEMBERED_ENTRIES = 1000;

type TurnClients = PeerRpcClients<typeof TurnService>;

export class GatewayCore {
  readonly metrics = new Metrics();
  readonly routes = new RouteTable();
  readonly leaving: LeavingServers;
  readonly limits: ServerLimits;
  /** Grants the permits of the limited servers whose slice this instance owns. */
  readonly limiter: SendRateLimiter;
  readonly permits: PermitClient;
  /** Decides on the allotments of the organisations whose slice this instance owns. */
  readonly allotments: AllotmentOwner;
  readonly #allotmentClient: AllotmentClient;
  /** Undefined if hedging is off. */
  readonly hedging: HedgingPolicy | undefined;
  /** Decides on the hedged requests to the services whose slice this instance owns; undefined if hedging is off. */
  readonly hedgeLimit: HedgeLimitOwner | undefined;
  readonly reports: ReportExchange;
  readonly links: ServerLinkMonitor;
  /** Other instances from which reports arrive. */
  readonly instances: KnownInstances;
  readonly upstream: ForwardingUpstream;
  readonly drain = new DrainAdmission();
  readonly forwardService: ForwardService;
  /** Memory for all responses that are being received. */
  readonly responseMemory: ResponseMemoryPool;
  readonly directory: BackendDirectory;
  readonly loads: BackendLoadTracker;
  readonly caches = new PromptCacheIndex();
  readonly crashes: CrashMonitor;
  readonly streams: StreamOriginRegistry;
  readonly #streamReplicator: StreamOriginReplicator;
  readonly configuration: KeyedTopicFollower;
  readonly backends: KeyedTopicFollower;
  readonly strikes: StrikeReplicator;
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly relay: GatewayRelay;
  /** Decoded configurations, by the values that were read. */
  readonly #decoded = new WeakMap<Uint8Array, IRoutingConfiguration | undefined>();
  readonly #settings: GatewaySettings;
  readonly #dependencies: IGatewayDependencies;
  readonly #peers: TurnClients;
  readonly #ownerCaller: OwnerCaller;
  /** Ids of the entries that are listed but name no server. */
  readonly #unusableEntries = new Set<string>();

  constructor(settings: GatewaySettings, dependencies: IGatewayDependencies) {
    const { adapter, logger, now } = dependencies;
    this.#settings = settings;
    this.#dependencies = dependencies;
    this.leaving = new LeavingServers(logger, now);
    this.limits = new ServerLimits(logger, now);
    this.instances = new KnownInstances(now);
    this.directory = new BackendDirectory(logger, { now, leaving: this.leaving });
    this.loads = new BackendLoadTracker(now);
    this.crashes = new CrashMonitor({
      logger,
      metrics: this.metrics,
      now,
      spread: dependencies.random(),
    });
    this.streams = new StreamOriginRegistry(now);
    this.#streamReplicator = this.#makeStreamReplicator();
    this.#peers = new PeerRpcClients(TurnService, dependencies.transports);
    const shared = { log: adapter.log, logger };
    this.configuration = new KeyedTopicFollower({
      ...shared,
      topic: adapter.configurationTopic,
      waitMs: CONFIGURATION_POLL_TIMEOUT_MS,
      pauseMs: CONFIGURATION_PAUSE_MS,
      isUsable: ({ key, value }) =>
        key !== adapter.configurationKey || (value !== undefined && this.#decode(value) !== undefined),
      redact: adapter.withoutApiKeys,
    });
    this.backends = new KeyedTopicFollower({
      ...shared,
      topic: adapter.backendTopic,
      waitMs: 0,
      pauseMs: BACKENDS_POLL_INTERVAL_MS,
    });
    this.strikes = new StrikeReplicator({
      ...shared,
      topic: adapter.strikeTopic,
      monitor: this.crashes,
      now,
      random: dependencies.random,
    });
    const partitions = slicePartitions(settings);
    const { newWriter } = dependencies;
    const { instance, peerAddress: address } = settings;
    const askRelease = (ownership: ISliceOwnership) => this.#requestRelease(ownership);
    const { metrics } = this;
    this.owned = new OwnedSlices({
      ...shared,
      metrics,
      instance,
      address,
      partitions,
      newWriter,
      askRelease,
    });
    const askPeer = (peer: string) => this.#fetchTable(peer);
    this.group = new SliceGroup({ ...shared, address, partitions, owned: this.owned, askPeer });
    this.limiter = new SendRateLimiter({ now, firstDelay: () => 1 });
    this.#ownerCaller = new OwnerCaller({ peers: this.#peers, logger, address });
    this.permits = this.#makePermitClient();
    this.allotments = this.#makeAllotmentOwner();
    this.#allotmentClient = this.#makeAllotmentClient();
    if (settings.hedging.maxExtraSends > 0) {
      this.hedging = new HedgingPolicy(settings.hedging, now);
      this.hedgeLimit = this.#makeHedgeLimitOwner();
    }
    const { connectProbe: probe, random } = dependencies;
    this.links = new ServerLinkMonitor({ directory: this.directory, probe, logger, random });
    this.reports = this.#makeReports();
    this.upstream = this.#makeUpstream();
    this.forwardService = new ForwardService({
      upstream: this.upstream,
      links: this.links,
      directory: this.directory,
      permits: this.permits,
      drain: this.drain,
    });
    this.responseMemory = new ResponseMemoryPool(settings.responseMemoryBytes);
    this.relay = this.#makeRelay();
    this.#subscribe();
  }

  /** Whether a configuration and at least one backend server are known, so that callers can be served. */
  get isServing(): boolean {
    return this.routes.configuration !== undefined && this.directory.size > 0;
  }

  /** Peer addresses of some instances that reach backend servers, in random order. */
  readonly forwarders = (): string[] => {
    const owners = this.reports.aggregators.length > 0 ? this.group.peers.map(hostOf) : [];
    const hosts = [...new Set([...this.instances.list(), ...owners])].filter((host) =>
      !this.instances.isCutOff(host)
    );
    const shuffled = hosts.map((host) => ({ host, rank: this.#dependencies.random() }))
      .sort((a, b) => a.rank - b.rank);
    return shuffled.slice(0, MAX_NAMED_FORWARDERS).map(({ host }) => this.#addressOf(host));
  };

  /** Peer address of a host. All instances use the same port. */
  #addressOf(host: string): string {
    const { peerAddress } = this.#settings;
    return `${host}${peerAddress.slice(peerAddress.lastIndexOf(":"))}`;
  }

  /** Peer addresses of the instances that receive all reports, without this one. */
  #informedPeers(): string[] {
    const { aggregators } = this.reports;
    return aggregators.length > 0 ? aggregators.map((host) => this.#addressOf(host)) : this.group.peers;
  }

  /** Follows the store and the peers until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* this.configuration.start();
      yield* this.backends.start();
      yield* this.strikes.start();
      yield* this.links.start();
      yield* this.#makeServerEndDetector().start();
      yield* this.#streamReplicator.start();
      yield* this.group.start();
      const { logger } = this.#dependencies;
      yield* Effect.forkScoped(supervise(this.#syncFromPeers(), { component: "peer snapshots", logger }));
    });
  }

  /** Releases all slices, leaves the group and notifies the peers. */
  leave(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.group.leave();
      const notify = (peer: string) => Effect.forkChild(this.#notifyReassigned(peer));
      yield* Effect.forEach(this.group.peers, notify, { discard: true });
    });
  }

  #makeServerEndDetector(): ServerEndDetector {
    const { connectProbe: probe, logger, random } = this.#dependencies;
    const { crashes, directory } = this;
    const isListRead = () => !this.backends.isFailing && this.backends.lastReadMs > 0;
    const { awaitLoss: awaitListLoss } = this.backends;
    return new ServerEndDetector({
      crashes,
      directory,
      probe,
      isListRead,
      awaitListLoss,
      logger,
      random,
    });
  }

  #makeStreamReplicator(): StreamOriginReplicator {
    const { adapter: { log, streamTopic: topic }, logger, now } = this.#dependencies;
    const { instance } = this.#settings;
    return new StreamOriginReplicator({ log, topic, instance, registry: this.streams, logger, now });
  }

  /** Addresses of all other instances that are known. */
  #peerAddresses(): string[] {
    const { seeds, peerAddress } = this.#settings;
    return [...new Set([...this.group.peers, ...seeds])].filter((peer) => peer !== peerAddress);
  }

  /** Addresses of the other instances that know all begun streams. */
  #streamPeers(): string[] {
    return this.reports.aggregators.length > 0 ? this.#informedPeers() : this.#peerAddresses();
  }

  /** Peer address of the instance that grants the permits of a server: the owner of the slice of its id. */
  #ownerOfLimit(backendId: string): string {
    return this.group.ownerOf(this.owned.sliceOf(backendId));
  }

  #makeReports(): ReportExchange {
    const { logger, now } = this.#dependencies;
    const { instance, peerAddress } = this.#settings;
    const { loads, caches, crashes, streams, leaving, limits, links, instances, hedging, metrics } = this;
    let table: IOwnerTable | undefined;
    let ownerHosts: string[] = [];
    return new ReportExchange({
      instance,
      host: hostOf(peerAddress),
      ownerHosts: () => {
        if (table !== this.group.table) ownerHosts = this.group.table.addresses.map(hostOf);
        table = this.group.table;
        return ownerHosts;
      },
      contents: new ReportContents({ loads, caches, crashes, streams, leaving, limits, links, hedging }),
      loads,
      streams,
      instances,
      limitForwarder: new LimitForwarder({
        limits,
        isOwner: (backendId) => this.#ownerOfLimit(backendId) === peerAddress,
        peers: () => this.group.peers.map(hostOf),
        instances,
        isAggregator: () => this.reports.role === ReportRole.Aggregator,
        now,
      }),
      metrics,
      logger,
      now,
    });
  }

  #makePermitClient(): PermitClient {
    const { now, random } = this.#dependencies;
    const instanceCount = () => Math.max(this.group.peers.length + 1, this.reports.instanceCount);
    return new PermitClient({
      limits: this.limits,
      limiter: this.limiter,
      owners: {
        ownerOf: (backendId) => this.#ownerOfLimit(backendId),
        get instanceCount() {
          return instanceCount();
        },
      },
      caller: this.#ownerCaller,
      metrics: this.metrics,
      instance: this.#settings.instance,
      now,
      random,
    });
  }

  #makeAllotmentOwner(): AllotmentOwner {
    const { logger, now, random } = this.#dependencies;
    const { peerAddress: address, allotmentSlackRequests: slackRequests } = this.#settings;
    const { routes, owned, group } = this;
    return new AllotmentOwner({
      ownedSinceMs: (organisation) => {
        const slice = owned.sliceOf(organisation);
        return group.ownerOf(slice) === address ? owned.ownedSinceMs(slice) : undefined;
      },
      organisation: (name) => routes.configuration?.organisations?.find((entry) => entry.name === name),
      configurationVersion: () => routes.version,
      instanceCount: () => this.#instanceCount,
      logger,
      metrics: this.metrics,
      now,
      random,
      slackRequests,
      address,
    });
  }

  #makeAllotmentClient(): AllotmentClient {
    const { now, random } = this.#dependencies;
    const { peerAddress: address, allotmentSlackRequests: slackRequests } = this.#settings;
    const { group } = this;
    const instanceCount = () => this.#instanceCount;
    return new AllotmentClient({
      owner: this.allotments,
      owners: {
        ownerOf: (organisation) => group.ownerOf(this.owned.sliceOf(organisation)),
        get addresses() {
          return group.addresses;
        },
        get instanceCount() {
          return instanceCount();
        },
      },
      share: new AllotmentShare({ now, random, slackRequests }),
      caller: this.#ownerCaller,
      metrics: this.metrics,
      now,
      address,
    });
  }

  #makeHedgeLimitOwner(): HedgeLimitOwner {
    const { maxExtraSends } = this.#settings.hedging;
    const { owned, group } = this;
    return new HedgeLimitOwner(new HedgeLimiter(maxExtraSends), (service) => {
      const slice = owned.sliceOf(service);
      return group.ownerOf(slice) === this.#settings.peerAddress ? owned.ownedSinceMs(slice) : undefined;
    });
  }

  /** Number of instances that are known to this one, itself included. */
  get #instanceCount(): number {
    const knownHere = Math.max(this.group.peers.length, this.instances.list().length) + 1;
    return Math.max(knownHere, this.reports.instanceCount);
  }

  #makeUpstream(): ForwardingUpstream {
    const { upstream: direct, forwardTransport: transport, logger, random } = this.#dependencies;
    const { peerAddress: address } = this.#settings;
    return new ForwardingUpstream({
      direct,
      transport,
      links: this.links,
      limits: this.limits,
      finder: new ForwarderFinder({
        peers: this.#peers,
        owners: () => this.#informedPeers(),
        address,
        logger,
        random,
      }),
      isPeerCutOff: (peer) => this.instances.isCutOff(hostOf(peer)),
      logger,
      metrics: this.metrics,
      random,
    });
  }

  /** Acquires the token for the second send of a request, unless its organisation is near its allotment. */
  #acquireExtraSend({ organisation, configurationVersion, req }: RelayedCall): Effect.Effect<boolean> {
    if (organisation?.allotment === undefined) return Effect.succeed(true);
    if (this.#allotmentClient.isLow(organisation)) return Effect.succeed(false);
    const token = this.#allotmentClient.acquire({
      organisation,
      version: configurationVersion,
      programId: req.program?.programId,
      progress: RequestProgress.Continued,
    });
    return Effect.map(token, (decision) => decision?.isGranted !== false);
  }

  #makeRelay(): GatewayRelay {
    const { codec, logger, now, random } = this.#dependencies;
    const { hedging, hedgeLimit } = this;
    const { peerAddress, zone, maxResponseBytes, maxEventBytes } = this.#settings;
    const turns = new TurnClient({
      owned: this.owned,
      group: this.group,
      peers: this.#peers,
      logger,
      metrics: this.metrics,
      address: peerAddress,
    });
    return new GatewayRelay({
      codec,
      routes: this.routes,
      directory: this.directory,
      loads: this.loads,
      caches: this.caches,
      turns,
      admission: new UtilizationAdmission(),
      crashes: this.crashes,
      streams: this.streams,
      streamFinder: new StreamOriginFinder({
        registry: this.streams,
        peers: this.#peers,
        peerAddresses: () => this.#streamPeers(),
        logger,
      }),
      streamAnnouncer: this.#streamReplicator,
      permits: this.permits,
      allotments: this.#allotmentClient,
      upstream: this.upstream,
      hedging: hedging === undefined || hedgeLimit === undefined ? undefined : {
        policy: hedging,
        limit: new HedgeLimitClient({
          owner: hedgeLimit,
          ownerOf: (service) => this.group.ownerOf(this.owned.sliceOf(service)),
          caller: this.#ownerCaller,
          address: peerAddress,
          startedAtMs: now(),
        }),
        acquireExtraSend: (call) => this.#acquireExtraSend(call),
      },
      responseLimits: { maxResponseBytes, maxEventBytes },
      responseMemory: this.responseMemory,
      drain: this.drain,
      logger,
      metrics: this.metrics,
      zone,
      random,
      isConfigurationStale: () => this.#isConfigurationStale,
    });
  }

  #subscribe(): void {
    this.directory.onDidRemove((entry) => {
      this.#dependencies.closeBackendConnections(entry);
      this.crashes.serverEnded(entry);
      this.loads.remove(entry);
      const run = { backendId: entry.id, startedAtMs: entry.startedAtMs };
      this.limits.remove(run);
      this.limiter.remove(run);
      this.permits.remove(entry);
      this.caches.removeEngine(entry.id);
    });
    this.upstream.onDidAnnounceLeaving(({ id: backendId, startedAtMs }) =>
      this.leaving.recordAnnouncement({ backendId, startedAtMs })
    );
    this.upstream.onDidStateLimit((
      { backend: { id: backendId, startedAtMs }, limitPerSecond },
    ) => this.limits.record({ backendId, startedAtMs }, limitPerSecond));
    this.hedging?.onDidDropSample(() => this.metrics.incrementCounter("hedging_samples_dropped"));
    this.links.onDidChange((isCutOff) => {
      if (isCutOff) this.#dependencies.closeIdleBackendConnections();
      // The failures of the last moments were due to the links, not to the servers.
      this.loads.clearFailures();
    });
    // Without this proof, the servers themselves may have crashed.
    this.upstream.onDidConfirmLinkLoss(() => this.crashes.reconsiderLosses());
    this.leaving.onDidAdd(({ backendId }) => {
      const entry = this.directory.get(backendId);
      if (entry !== undefined) this.#dependencies.closeBackendConnections(entry);
    });
    this.configuration.onDidUpdate((update) => this.#applyConfiguration(update));
    this.backends.onDidUpdate((update) => this.#applyBackendUpdate(update));
  }

  #decode(value: Uint8Array): IRoutingConfiguration | undefined {
    if (!this.#decoded.has(value)) {
      this.#decoded.set(value, this.#dependencies.adapter.decodeConfiguration(value));
    }
    return this.#decoded.get(value);
  }

  #applyConfiguration({ key, value }: IKeyedUpdate): void {
    const { adapter, logger, applyCallerLimits } = this.#dependencies;
    if (key !== adapter.configurationKey || value === undefined) return;
    const configuration = this.#decode(value);
    if (configuration === undefined) return logger.warn("configuration-unreadable", { bytes: value.length });
    const isAdopted = this.routes.updateIfNewer(configuration);
    logger.info("configuration", {
      version: configuration.version,
      isAdopted,
      routes: configuration.routes.length,
      organisations: configuration.organisations?.length,
    });
    if (isAdopted) applyCallerLimits(configuration.limits);
  }

  #applyBackendUpdate({ key, value, outageMs }: IKeyedUpdate): void {
    const entry = value === undefined ? undefined : this.#dependencies.adapter.decodeBackend(key, value);
    if (entry === undefined && value !== undefined) this.#logUnusableEntry(key, value);
    else this.#unusableEntries.delete(key);
    if (entry === undefined) {
      const minLapseMs = MIN_LAPSE_HEARTBEATS * this.#settings.backendHeartbeatMs;
      return this.directory.remove(key, { mayBeLapsed: value === undefined && outageMs >= minLapseMs });
    }
    this.directory.put(entry);
    // After an outage a heartbeat may be as old as the outage.
    if (outageMs === 0) this.crashes.serverRenewed(entry);
  }

  /** Logs an entry once, though its writer may renew it with each heartbeat. */
  #logUnusableEntry(key: string, value: Uint8Array): void {
    if (this.#unusableEntries.has(key)) return;
    if (this.#unusableEntries.size < MAX_REMEMBERED_ENTRIES) this.#unusableEntries.add(key);
    this.#dependencies.logger.warn("backend-entry-unusable", {
      id: key.slice(0, MAX_LOGGED_ID_CHARS),
      bytes: value.length,
    });
  }

  /** Applies a peer's snapshot once after the start, and while this instance cannot read the store itself. */
  #syncFromPeers(): Effect.Effect<void> {
    let hasSynced = false;
    const { configuration, backends, strikes } = this;
    const awaitLoss = Effect.raceAll(
      [configuration, backends, strikes.follower].map((follower) => follower.awaitLoss),
    );
    return repeatWhenNeeded({
      intervalMs: SNAPSHOT_INTERVAL_MS,
      awaitWork: Effect.suspend(() => hasSynced ? awaitLoss : Effect.void),
      work: Effect.gen({ self: this }, function* () {
        if (hasSynced && !this.#isStoreFailing) return;
        const peers = this.#peerAddresses();
        if (peers.length === 0) return;
        const snapshot = yield* this.#fetchSnapshot(
          peers[Math.floor(this.#dependencies.random() * peers.length)],
        );
        if (snapshot === undefined) return;
        if (this.#isStoreFailing) this.#applySnapshot(snapshot);
        const now = this.#dependencies.now();
        for (const { strike, isWithdrawn, isPending } of snapshot.strikeChanges) {
          if (isUsableStrike(strike, now)) this.crashes.merge({ strike, isWithdrawn, isPending });
        }
        for (const run of snapshot.leaving) if (isUsableRun(run, now)) this.leaving.merge(run);
        hasSynced = true;
      }),
    });
  }

  /** Whether the store may hold a newer configuration: a call has failed, or one has not been answered in time. */
  get #isConfigurationStale(): boolean {
    const { isFailing, lastReadMs } = this.configuration;
    return isFailing || this.#dependencies.now() - lastReadMs > MAX_CONFIGURATION_READ_AGE_MS;
  }

  get #isStoreFailing(): boolean {
    return this.configuration.isFailing || this.backends.isFailing || this.strikes.follower.isFailing;
  }

  #applySnapshot(snapshot: GetSnapshotResponse): void {
    const configuration = toUsableItems(snapshot.configuration);
    const backends = toUsableItems(snapshot.backends);
    const strikes = toUsableItems(snapshot.strikes);
    if (configuration !== undefined) this.configuration.updateIfNewer(configuration);
    if (backends !== undefined) this.backends.updateIfNewer(backends);
    if (strikes !== undefined) this.strikes.follower.updateIfNewer(strikes);
    if (snapshot.owners.length > 0) this.group.updateIfNewer(this.#toOwnerTable(snapshot));
  }

  #fetchSnapshot(peer: string) {
    const call = this.#peers.call(peer, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.getSnapshot({}, { signal }),
    });
    return Effect.catchTag(call, "PeerError", (err) => {
      this.#dependencies.logger.info("peer-snapshot-failed", { peer, error: err.message });
      return Effect.succeed(undefined);
    });
  }

  #fetchTable(peer: string): Effect.Effect<IOwnerTable | undefined> {
    return Effect.map(
      this.#fetchSnapshot(peer),
      (snapshot) => snapshot === undefined ? undefined : this.#toOwnerTable(snapshot),
    );
  }

  /** Slices that this instance does not have, and owners that cannot be called, are left out. */
  #toOwnerTable({ generation, owners }: GetSnapshotResponse): IOwnerTable {
    const addresses = Array.from({ length: this.owned.sliceCount }, () => "");
    for (const { slice, address } of owners) {
      if (slice < addresses.length && isUsablePeerAddress(address)) addresses[slice] = address;
    }
    return { generation, addresses };
  }

  #requestRelease(
    { slice, writer, holder }: ISliceOwnership,
  ): Effect.Effect<readonly ISpendingRecord[] | undefined> {
    if (!isUsablePeerAddress(holder)) {
      const error = "the claim names no address";
      this.#dependencies.logger.info("slice-not-released", { slice, holder: "", error });
      return Effect.succeed(undefined);
    }
    const call = this.#peers.call(holder, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.releaseSlice({ slice, writer }, { signal }),
    });
    return call.pipe(
      Effect.map(({ isReleased, programs }) => isReleased ? programs : undefined),
      Effect.catchTag("PeerError", (err) => {
        this.#dependencies.logger.info("slice-not-released", { slice, holder, error: err.message });
        return Effect.succeed(undefined);
      }),
    );
  }

  #notifyReassigned(peer: string): Effect.Effect<void> {
    const call = this.#peers.call(peer, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.reassigned({}, { signal }),
    });
    // A peer that misses the notification learns of the change when it next renews its group membership.
    const log = (err: Error) =>
      this.#dependencies.logger.info("peer-not-notified", { peer, error: err.message });
    return Effect.asVoid(Effect.catchTag(call, "PeerError", (err) => Effect.sync(() => log(err))));
  }
}

/** Store partition of each slice, indexed by slice number. */
function slicePartitions({ sliceTopics, storeParts }: GatewaySettings): IPartition[] {
  return Array.from({ length: sliceTopics * storeParts }, (_, slice) => ({
    topic: `slices-${Math.floor(slice / storeParts)}`,
    part: slice % storeParts,
  }));
}
