/**
 * Composition root of one scheduler instance, which runs the model and service calls of programs: creates its
 * components on top of injected dependencies. The gateway, which relays opaque requests, has its own
 * composition root in `gateway_core.ts`.
 */
import { create } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { MemberSchema, MemberState } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { BudgetEnforcer } from "../../call/common/budget_enforcer.ts";
import { CallRunner } from "../../call/common/call_runner.ts";
import { CallService } from "../../call/common/call_service.ts";
import { ModelDispatcher } from "../../call/common/model_dispatcher.ts";
import { Quarantine } from "../../call/common/quarantine.ts";
import { RetryBudget } from "../../call/common/retry_budget.ts";
import { ServiceDispatcher } from "../../call/common/service_dispatcher.ts";
import { SuspectIsolation } from "../../call/common/suspect_isolation.ts";
import { TurnRecorder } from "../../call/common/turn_recorder.ts";
import { OwnerRouter } from "../../entry/common/owner_router.ts";
import { syncConfigurationFromPeers } from "../../membership/common/configuration_gossip.ts";
import { SliceHandover } from "../../membership/common/slice_handover.ts";
import { Membership } from "../../membership/common/membership.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { RelayedLogService } from "../../membership/common/relayed_log_service.ts";
import { ViewTracker } from "../../membership/common/view.ts";
import { makePeerService } from "../../peer/common/peer_service.ts";
import { PlacementController } from "../../placement/common/placement_controller.ts";
import { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { IInstanceList } from "../../services/instances/common/instance_list.ts";
import { Journal } from "../../services/journal/common/journal.ts";
import type { ILogService } from "../../services/log/common/log_service.ts";
import { DecisionLog } from "../../services/logging/common/decision_log.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { DaemonSettings } from "../../services/settings/common/gen/daemon_settings.ts";
import { BusyPrograms } from "../../program/common/busy_programs.ts";
import { CheckpointWriter } from "../../program/common/checkpoint_writer.ts";
import { DurableWriter } from "../../program/common/durable_writer.ts";
import { HeldCopies } from "../../program/common/held_copies.ts";
import { IdleReaper } from "../../program/common/idle_reaper.ts";
import { JournalState } from "../../program/common/journal_state.ts";
import { ProgramService } from "../../program/common/program_service.ts";
import { ProgramFinder } from "../../program/common/program_finder.ts";
import { SliceRecovery } from "../../program/common/slice_recovery.ts";
import { BackendRegistry } from "../../routing/common/backend_registry.ts";
import { EngineAdmission } from "../../routing/common/engine_admission.ts";
import { ExpectedFinishChooser } from "../../routing/common/engine_chooser.ts";
import { KvReconciler } from "../../routing/common/kv_reconciler.ts";
import type { EngineFactory } from "../../routing/common/model_engine.ts";
import { ClassDeadlinePolicy } from "../../routing/common/call_priority.ts";
import type { ServiceBackendFactory } from "../../routing/common/service_backend.ts";

import { registerGauges } from "./gauges.ts";
import { randomIncarnation } from "./incarnation.ts";

const MS_PER_SECOND = 1000;

/** Interfaces to everything outside the instance: log service, instance list, peers, backend servers and log output. */
export interface IDaemonDependencies {
  readonly log: ILogService;
  readonly instances: IInstanceList;
  readonly transports: IPeerTransports;
  readonly makeEngine: EngineFactory;
  readonly makeService: ServiceBackendFactory;
  readonly logger: ILogger;
}

/** Addresses at which peers and callers reach an instance. */
export interface IAdvertisedAddresses {
  readonly peerAddress: string;
  readonly callerAddress: string;
}

/** What an instance is created from. */
export interface IDaemonCoreOptions {
  readonly dependencies: IDaemonDependencies;
  readonly addresses: IAdvertisedAddresses;
}

/** The components of one instance, without its network listeners. */
export interface IDaemonCore {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: Journal;
  readonly membership: Membership;
  readonly handover: SliceHandover;
  readonly calls: CallService;
  readonly router: OwnerRouter;
  readonly configuration: ConfigurationStore;
  readonly registry: BackendRegistry;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly copies: HeldCopies;
  readonly writer: DurableWriter;
  readonly checkpoints: CheckpointWriter;
  readonly peerService: ServiceImpl<typeof PeerService>;
  /** Starts the instance's background fibers; they end with the scope. */
  readonly start: Effect.Effect<void, never, Scope.Scope>;
}

/** Creates an instance's components. Nothing runs until `start` is executed. */
export function makeDaemonCore(
  settings: DaemonSettings,
  { dependencies, addresses }: IDaemonCoreOptions,
): Effect.Effect<IDaemonCore, never, Scope.Scope> {
  return Effect.gen(function* () {
    const scope = yield* Effect.scope;
    const context = yield* Effect.context<never>();
    const clock = yield* Clock.Clock;
    const { timing } = settings;
    const self = create(MemberSchema, {
      instanceId: settings.instanceId,
      incarnation: randomIncarnation(),
      zone: settings.zone,
      state: MemberState.ACTIVE,
      ...addresses,
    });
    const metrics = new Metrics();
    const decisions = new DecisionLog(dependencies.logger, () => clock.currentTimeMillisUnsafe());
    const peers = new PeerRpcClients(PeerService, dependencies.transports);
    const views = new ViewTracker();
    const state = new JournalState(views);
    // Called only for requests to the log service, which begin with `start`. By then `membership`, declared
    // below, has been created.
    const relayAddresses = () =>
      membership.peers.filter(({ logReachable }) => logReachable).map(({ address }) => address);
    const log = new RelayedLogService({ direct: dependencies.log, peers, relayAddresses });
    const journal = new Journal({
      log,
      writer: self,
      apply: (batch) => state.applyBatch(batch),
      // The members share the limit on appends equally.
      appendIntervalMs: () => (views.current?.members.length ?? 1) * MS_PER_SECOND / timing.appendsPerSecond,
    });
    const configuration = new ConfigurationStore(log, dependencies.logger);
    const presetName = () => configuration.presetName;
    const preset = () => configuration.preset;
    const membership: Membership = new Membership({
      self,
      views,
      journal,
      peers,
      instances: dependencies.instances,
      timing,
      configurationVersion: () => configuration.version,
      isLogReachable: () => log.isDirectlyReachable,
    });
    const handover = new SliceHandover({
      self,
      views,
      peers,
      timing,
      heartbeatAgeMs: (member) => membership.heartbeatAgeMs(member),
    });
    const writer = new DurableWriter({ state, journal, membership, peers, scope });
    const copies = new HeldCopies();
    const busy = new BusyPrograms({ views, programs: state.programs, leaseMs: timing.leaseMs });
    const recovery = new SliceRecovery({ self, state, journal, writer, copies, busy, peers });
    const finder = new ProgramFinder(state, journal);
    const programs = new ProgramService({ state, finder, writer, handover, configuration });
    const registry = new BackendRegistry({ ...dependencies });
    const priorityPolicy = new ClassDeadlinePolicy(preset);
    const chooser = new ExpectedFinishChooser(preset);
    const admission = new EngineAdmission({ registry, chooser, priorityPolicy, preset });
    const retries = new RetryBudget(() => preset().retryShare);
    const isolation = new SuspectIsolation({ self, views, peers });
    const quarantine = new Quarantine({ strikes: state.strikes, isolation, journal });
    const models = new ModelDispatcher({
      registry,
      admission,
      priorityPolicy,
      retries,
      quarantine,
      decisions,
      presetName,
      incarnation: self.incarnation,
      scope,
    });
    const services = new ServiceDispatcher({
      registry,
      state,
      writer,
      retries,
      quarantine,
      decisions,
      presetName,
    });
    const recorder = new TurnRecorder({ self, state, writer, busy, peers });
    const calls: CallService = new CallService({
      state,
      finder,
      membership,
      handover,
      busy,
      configuration,
      budgets: new BudgetEnforcer(state.programs, writer),
      runner: new CallRunner({ configuration, programs: state.programs, models, services }),
      recorder,
      scope,
    });
    const router = new OwnerRouter({ self, views, peers, calls, programs });
    const checkpoints = new CheckpointWriter({
      self,
      state,
      journal,
      writer,
      intervalMs: timing.checkpointMs,
      checkpointConfiguration: Effect.suspend(() => configuration.checkpoint()),
    });
    const reaper = new IdleReaper({
      self,
      state,
      programs,
      configuration,
      isRunning: (programId) => calls.isRunning(programId),
    });
    const reconciler = new KvReconciler({
      self,
      state,
      journal,
      registry,
      decisions,
      presetName,
      keepKvMs: () => preset().keepKvMs,
    });
    const placement = new PlacementController({
      self,
      state,
      journal,
      membership,
      registry,
      configuration,
      decisions,
      leaseMs: timing.leaseMs,
    });
    const peerService = makePeerService({
      membership,
      views,
      calls,
      programs,
      recorder,
      configuration,
      copies,
      isolation,
      zone: settings.zone,
      log: dependencies.log,
      context,
    });
    const start = Effect.gen(function* () {
      yield* syncConfigurationFromPeers({ membership, peers, configuration });
      yield* log.start();
      // Handover and busy programs listen for view changes, which the journal delivers. A listener registered
      // after the journal starts could miss the first view.
      yield* handover.start(recovery);
      yield* busy.start();
      yield* journal.start();
      yield* configuration.start();
      yield* membership.start();
      yield* registry.start();
      yield* admission.start();
      yield* checkpoints.start();
      yield* reaper.start();
      yield* reconciler.start();
      yield* placement.start();
    });
    registerGauges(metrics, { state, journal, calls, admission, copies, configuration });
    return {
      self,
      state,
      journal,
      membership,
      handover,
      calls,
      router,
      configuration,
      registry,
      decisions,
      metrics,
      copies,
      writer,
      checkpoints,
      peerService,
      start,
    };
  });
}
