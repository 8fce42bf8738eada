/** Exchanges heartbeats with the other instances of the region, and proposes views of the live ones. */
import { create } from "@bufbuild/protobuf";
import type { Fiber, Scope } from "effect";
import { Clock, Effect, Result } from "effect";
import type { PeerError } from "../../base/common/errors.ts";
import type { HeartbeatRequest, HeartbeatResponse } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import {
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
} from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member, ViewRecord } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { MemberState, RecordSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { IInstanceList } from "../../services/instances/common/instance_list.ts";
import { InstanceRole, InstanceState } from "../../services/instances/common/instance_list.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { DaemonSettings } from "../../services/settings/common/gen/daemon_settings.ts";
import type { PeerClients } from "./peer_client.ts";
import type { ViewTracker } from "./view.ts";
import { isSameIncarnation, makeNextView } from "./view.ts";

const LIST_POLL_INTERVAL_MS = 500;
/** Heartbeat intervals for which the live members must stay the same before a view of them is proposed. */
const MEMBERS_DEBOUNCE_INTERVALS = 2;
/** Heartbeat intervals without a heartbeat after which the receiving instance sends one itself. */
const MISSED_AFTER_INTERVALS = 1.5;
/** Consecutive refused connections after which a peer's process counts as terminated. */
const TERMINATED_AFTER_REFUSALS = 2;
/** View checkpoints written within each `viewSilenceMs`. */
const CHECKPOINTS_PER_VIEW_SILENCE = 3;

/** Last known status of another instance. */
export interface IPeerStatus {
  readonly address: string;
  member: Member | undefined;
  lastHeartbeatAtMs: number;
  viewNumber: number;
  logReachable: boolean;
  /** Consecutive heartbeats for which the connection was refused. */
  consecutiveRefusals: number;
}

export interface IMembershipOptions {
  readonly self: Member;
  readonly views: ViewTracker;
  readonly journal: IJournal;
  readonly peers: PeerClients;
  readonly instances: IInstanceList;
  readonly timing: DaemonSettings["timing"];
  /** Version of the current configuration, sent with heartbeats. */
  readonly configurationVersion: () => number;
  /** Whether this instance reaches the log service directly rather than through a peer. */
  readonly isLogReachable: () => boolean;
}

/** Event that a peer has a newer configuration than this instance. */
export interface INewerConfigurationEvent {
  readonly address: string;
  readonly version: number;
}

export class Membership {
  readonly #opts: IMembershipOptions;
  readonly #peers = new Map<string, IPeerStatus>();
  readonly #heartbeatFibers = new Map<string, Fiber.Fiber<void>>();
  readonly #onDidDiscoverNewerConfiguration = new Emitter<INewerConfigurationEvent>();
  readonly onDidDiscoverNewerConfiguration: Event<INewerConfigurationEvent> =
    this.#onDidDiscoverNewerConfiguration.event;
  #listedAddresses: ReadonlySet<string> = new Set();
  #liveMembersKey = "";
  #liveMembersSince = 0;
  #startedAt = 0;
  #memberActiveAt = 0;

  constructor(opts: IMembershipOptions) {
    this.#opts = opts;
  }

  get self(): Member {
    return this.#opts.self;
  }

  /** Sends heartbeats and proposes views until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#startedAt = yield* Clock.currentTimeMillis;
      this.#memberActiveAt = this.#startedAt;
      this.#opts.journal.onDidApply(({ batch }) =>
        this.#recordWriterActivity(batch.writer, batch.incarnation)
      );
      yield* Effect.forkScoped(this.#pollInstanceList(scope));
      yield* Effect.forkScoped(this.#proposeViews());
      yield* Effect.forkScoped(this.#writeViewCheckpoints());
    });
  }

  /** Status of all peers with which a heartbeat was exchanged and which are not yet removed. */
  get peers(): readonly IPeerStatus[] {
    return [...this.#peers.values()];
  }

  getPeer(address: string): IPeerStatus | undefined {
    return this.#peers.get(address);
  }

  /**
   * Time since the last heartbeat of an incarnation of an instance, in ms. Infinite if its process has
   * terminated, if the address belongs to another incarnation, or if the address is unknown.
   */
  heartbeatAgeMs(member: Member): Effect.Effect<number> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const status = this.#peers.get(member.peerAddress);
      if (status === undefined || !isSameIncarnation(status.member, member) || isTerminated(status)) {
        return Infinity;
      }
      return now - status.lastHeartbeatAtMs;
    });
  }

  /** Marks this instance as draining, so that the next view assigns its slices to other members. */
  startDraining(): void {
    this.#opts.self.state = MemberState.DRAINING;
  }

  /** Records the status in a peer's heartbeat and responds with that of this instance. */
  handleHeartbeat(req: HeartbeatRequest): Effect.Effect<HeartbeatResponse> {
    return Effect.gen({ self: this }, function* () {
      if (req.member !== undefined) yield* this.#recordStatus(req.member.peerAddress, req);
      return create(HeartbeatResponseSchema, this.#ownStatus());
    });
  }

  /**
   * Whether this instance may dispatch calls. It may if it has read the journal to its end within the
   * lease. It also may while a majority of the view responds and none of these members reaches the log
   * service, because no new view can then be recorded.
   */
  mayDispatch(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const view = this.#opts.views.current;
      if (view?.find(this.#ownWriter) === undefined) return false;
      if (now - this.#opts.journal.lastReadToEndAtMs <= this.#opts.timing.leaseMs) return true;
      return this.#isLogOutage(now);
    });
  }

  get #ownWriter(): { instanceId: string; incarnation: string } {
    return this.#opts.self;
  }

  #isLogOutage(now: number): boolean {
    const members = this.#opts.views.current?.members ?? [];
    const responsive = members.filter((member) => {
      const status = this.#peers.get(member.peerAddress);
      if (status === undefined || !isSameIncarnation(status.member, member)) return false;
      return now - status.lastHeartbeatAtMs <= this.#opts.timing.leaseMs;
    });
    const isLogReachable = responsive.some((member) => this.#peers.get(member.peerAddress)?.logReachable);
    return !isLogReachable && (responsive.length + 1) * 2 > members.length;
  }

  #ownStatus(): { member: Member; viewNumber: number; configurationVersion: number; logReachable: boolean } {
    const { self, views } = this.#opts;
    return {
      member: self,
      viewNumber: views.current?.number ?? 0,
      configurationVersion: this.#opts.configurationVersion(),
      logReachable: this.#opts.isLogReachable(),
    };
  }

  #recordStatus(address: string, status: HeartbeatResponse | HeartbeatRequest): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      this.#peers.set(address, {
        address,
        member: status.member,
        lastHeartbeatAtMs: now,
        viewNumber: status.viewNumber,
        logReachable: status.logReachable,
        consecutiveRefusals: 0,
      });
      const version = status.configurationVersion;
      if (version > this.#opts.configurationVersion()) {
        this.#onDidDiscoverNewerConfiguration.fire({ address, version });
      }
    });
  }

  #recordWriterActivity(instanceId: string, incarnation: string): void {
    if (this.#opts.views.current?.find({ instanceId, incarnation }) === undefined) return;
    this.#memberActiveAt = this.#opts.journal.lastReadToEndAtMs;
  }

  #pollInstanceList(scope: Scope.Scope): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const list = yield* Effect.catch(this.#opts.instances.list(), () => Effect.succeed(undefined));
        if (list !== undefined) {
          const instances = list.filter(({ role, state }) =>
            role === InstanceRole.System && state === InstanceState.Live
          );
          this.#listedAddresses = new Set(instances.map(({ address }) => address));
        }
        for (const address of this.#peerAddresses()) yield* this.#startHeartbeats(address, scope);
        yield* Effect.sleep(LIST_POLL_INTERVAL_MS);
      }
    });
  }

  #peerAddresses(): Set<string> {
    const members = this.#opts.views.current?.members ?? [];
    const known = [
      ...this.#listedAddresses,
      ...members.map((member) => member.peerAddress),
      ...this.#peers.keys(),
    ];
    const addresses = new Set(known);
    addresses.delete(this.#opts.self.peerAddress);
    return addresses;
  }

  #startHeartbeats(address: string, scope: Scope.Scope): Effect.Effect<void> {
    if (this.#heartbeatFibers.has(address)) return Effect.void;
    return Effect.map(Effect.forkIn(this.#sendHeartbeats(address), scope), (fiber) => {
      this.#heartbeatFibers.set(address, fiber);
    });
  }

  /**
   * Sends heartbeats to one peer, in a fiber of its own. Ends when a heartbeat fails and the peer is neither
   * in the instance list nor a member of the view.
   */
  #sendHeartbeats(address: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { timing, peers } = this.#opts;
      while (true) {
        yield* Effect.sleep(timing.heartbeatMs);
        if (this.#isSentByPeer(address, yield* Clock.currentTimeMillis)) continue;
        const req = create(HeartbeatRequestSchema, this.#ownStatus());
        const heartbeat = peers.call(address, {
          timeoutMs: timing.failureTimeoutMs / 2,
          invoke: (client, signal) => client.heartbeat(req, { signal }),
        });
        const outcome = yield* Effect.result(heartbeat);
        if (Result.isSuccess(outcome)) yield* this.#recordStatus(address, outcome.success);
        else this.#recordFailure(address, outcome.failure);
        if (Result.isFailure(outcome) && this.#isRemoved(address)) break;
      }
      this.#heartbeatFibers.delete(address);
      this.#peers.delete(address);
    });
  }

  /**
   * Whether the peer's own heartbeats make one from this instance unnecessary. Of two instances the one with
   * the lower id sends heartbeats; the other sends them only when those are missing.
   */
  #isSentByPeer(address: string, now: number): boolean {
    const status = this.#peers.get(address);
    const isSender = status?.member === undefined || this.#opts.self.instanceId < status.member.instanceId;
    return !isSender &&
      now - status.lastHeartbeatAtMs < this.#opts.timing.heartbeatMs * MISSED_AFTER_INTERVALS;
  }

  #recordFailure(address: string, err: PeerError): void {
    const status = this.#peers.get(address);
    if (status !== undefined) {
      status.consecutiveRefusals = err.isConnectionRefused ? status.consecutiveRefusals + 1 : 0;
    }
  }

  #isRemoved(address: string): boolean {
    const members = this.#opts.views.current?.members ?? [];
    return !this.#listedAddresses.has(address) && !members.some((member) => member.peerAddress === address);
  }

  #proposeViews(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#opts.journal.caughtUp;
      while (true) {
        yield* Effect.sleep(this.#opts.timing.heartbeatMs);
        const now = yield* Clock.currentTimeMillis;
        const next = this.#nextProposal(now);
        if (next === undefined) continue;
        const pending = this.#opts.journal.append(
          create(RecordSchema, { body: { case: "view", value: next } }),
        );
        yield* pending.receipt;
      }
    });
  }

  /** The view that this instance should propose now, or undefined. */
  #nextProposal(now: number): ViewRecord | undefined {
    const { views, journal, timing, self } = this.#opts;
    const view = views.current;
    const members = this.#liveMembers(now);
    const key = membersKey(members);
    if (key !== this.#liveMembersKey) {
      this.#liveMembersKey = key;
      this.#liveMembersSince = now;
    }
    if (journal.unavailableSinceMs !== undefined) return undefined;
    if (view !== undefined && membersKey(view.members) === key) return undefined;
    if (now - this.#liveMembersSince < timing.heartbeatMs * MEMBERS_DEBOUNCE_INTERVALS) return undefined;
    if (!this.#mayPropose(now)) return undefined;
    // Only one instance proposes: the first live member of the view, or while this instance is outside the
    // view, the first live instance.
    const isMember = (member: Member) => view === undefined || view.find(member) !== undefined;
    const proposers = members.filter((member) => view?.find(self) === undefined || isMember(member));
    if (proposers[0]?.instanceId !== self.instanceId) return undefined;
    return makeNextView(view, members);
  }

  /**
   * Members of the view may always propose. An instance outside the view is new or was removed: it waits
   * for a member to add it, and proposes a view itself only once no member has written to the journal for
   * `viewSilenceMs`. Without any view it waits for the failure timeout, so that heartbeats of its
   * peers can arrive first.
   */
  #mayPropose(now: number): boolean {
    const { views, timing, self } = this.#opts;
    if (views.current === undefined) return now - this.#startedAt >= timing.failureTimeoutMs;
    if (views.current.find(self) !== undefined) return true;
    return now - this.#memberActiveAt >= timing.viewSilenceMs;
  }

  /** This instance and the instances with a heartbeat within the failure timeout, ordered by id. */
  #liveMembers(now: number): Member[] {
    const live = new Map([[this.#opts.self.instanceId, this.#opts.self]]);
    const byLastHeartbeat = [...this.#peers.values()].sort((a, b) =>
      a.lastHeartbeatAtMs - b.lastHeartbeatAtMs
    );
    for (const status of byLastHeartbeat) {
      const { member, lastHeartbeatAtMs: lastHeardAt } = status;
      if (member === undefined || member.instanceId === this.#opts.self.instanceId || isTerminated(status)) {
        continue;
      }
      if (now - lastHeardAt <= this.#opts.timing.failureTimeoutMs) live.set(member.instanceId, member);
    }
    return [...live.values()].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
  }

  /**
   * Repeats the view in the journal while this instance is its first member. The record shows the instances
   * outside the view that its members are alive, and provides an initial view to readers that start later.
   */
  #writeViewCheckpoints(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(this.#opts.timing.viewSilenceMs / CHECKPOINTS_PER_VIEW_SILENCE);
        const view = this.#opts.views.current;
        if (view === undefined || !isSameIncarnation(view.members[0], this.#opts.self)) continue;
        if (this.#opts.journal.unavailableSinceMs !== undefined) continue;
        const record = create(RecordSchema, { body: { case: "view", value: view.toCheckpoint() } });
        yield* this.#opts.journal.append(record).receipt;
      }
    });
  }
}

function isTerminated({ consecutiveRefusals: refusals }: IPeerStatus): boolean {
  return refusals >= TERMINATED_AFTER_REFUSALS;
}

function membersKey(members: readonly Member[]): string {
  return members.map((member) => `${member.instanceId}/${member.incarnation}/${member.state}`).join(" ");
}
