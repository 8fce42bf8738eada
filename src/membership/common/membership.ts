/** Heartbeats between the instances, and proposals of views from them. */
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
import type { ViewTable } from "./view.ts";
import { isSameRun, makeNextView } from "./view.ts";

const LIST_INTERVAL_MS = 500;
/** Heartbeat intervals for which the wished members must stay the same before they are proposed. */
const DEBOUNCE_HEARTBEATS = 2;
/** Heartbeat intervals after which the receiving side sends a heartbeat itself. */
const MISSED_HEARTBEAT = 1.5;
/** Refused heartbeats in a row after which a peer's process counts as gone. */
const REFUSALS_TO_GONE = 2;
/** View checkpoints within one silence limit. */
const CHECKPOINTS_PER_SILENCE = 3;

/** What this instance knows of another one. */
export interface IPeerStatus {
  readonly address: string;
  member: Member | undefined;
  lastHeardAt: number;
  viewNumber: number;
  logReachable: boolean;
  /** Heartbeats refused in a row since the peer was last heard. */
  refusals: number;
}

export interface IMembershipOptions {
  readonly self: Member;
  readonly views: ViewTable;
  readonly journal: IJournal;
  readonly peers: PeerClients;
  readonly instances: IInstanceList;
  readonly timing: DaemonSettings["timing"];
  /** Version of the configuration in force, sent with heartbeats. */
  readonly configurationVersion: () => number;
  /** Whether this instance itself reaches the log service. */
  readonly isLogReachable: () => boolean;
}

/** A peer reported a newer configuration than this instance has. */
export interface IConfigurationNews {
  readonly address: string;
  readonly version: number;
}

export class Membership {
  readonly #opts: IMembershipOptions;
  readonly #peers = new Map<string, IPeerStatus>();
  readonly #fibers = new Map<string, Fiber.Fiber<void>>();
  readonly #onDidSeeConfiguration = new Emitter<IConfigurationNews>();
  readonly onDidSeeConfiguration: Event<IConfigurationNews> = this.#onDidSeeConfiguration.event;
  #listed: ReadonlySet<string> = new Set();
  #wished = "";
  #wishedSince = 0;
  #startedAt = 0;
  #memberHeardAt = 0;

  constructor(opts: IMembershipOptions) {
    this.#opts = opts;
  }

  get self(): Member {
    return this.#opts.self;
  }

  /** Starts heartbeats and proposals until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#startedAt = yield* Clock.currentTimeMillis;
      this.#memberHeardAt = this.#startedAt;
      this.#opts.journal.onDidApply(({ batch }) => this.#noteWriter(batch.writer, batch.incarnation));
      yield* Effect.forkScoped(this.#followList(scope));
      yield* Effect.forkScoped(this.#proposeForever());
      yield* Effect.forkScoped(this.#repeatView());
    });
  }

  /** All peers that have been heard of. */
  get peers(): readonly IPeerStatus[] {
    return [...this.#peers.values()];
  }

  /** Status of the peer at an address. */
  peer(address: string): IPeerStatus | undefined {
    return this.#peers.get(address);
  }

  /** Time for which a run of an instance has been silent, in ms; infinite if its process is gone. */
  silenceOf(member: Member): Effect.Effect<number> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const status = this.#peers.get(member.peerAddress);
      if (status === undefined || !isSameRun(status.member, member) || isGone(status)) return Infinity;
      return now - status.lastHeardAt;
    });
  }

  /** Asks the others to take this instance's slices over. */
  drain(): void {
    this.#opts.self.state = MemberState.DRAINING;
  }

  /** Answers a peer's heartbeat. */
  receive(req: HeartbeatRequest): Effect.Effect<HeartbeatResponse> {
    return Effect.gen({ self: this }, function* () {
      if (req.member !== undefined) yield* this.#note(req.member.peerAddress, req);
      return create(HeartbeatResponseSchema, this.#ownStatus());
    });
  }

  /**
   * Whether this instance may dispatch calls: it has seen the end of the journal within the lease, or
   * a majority of the view answers and no member reaches the log service, so that no view can follow.
   */
  mayDispatch(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const view = this.#opts.views.current;
      if (view?.find(this.#writer) === undefined) return false;
      if (now - this.#opts.journal.confirmedAt <= this.#opts.timing.leaseMs) return true;
      return this.#isStoreOutage(now);
    });
  }

  get #writer(): { instanceId: string; incarnation: string } {
    return this.#opts.self;
  }

  #isStoreOutage(now: number): boolean {
    const members = this.#opts.views.current?.members ?? [];
    const heard = members.filter((member) => {
      const status = this.#peers.get(member.peerAddress);
      if (status === undefined || !isSameRun(status.member, member)) return false;
      return now - status.lastHeardAt <= this.#opts.timing.leaseMs;
    });
    const anyReaches = heard.some((member) => this.#peers.get(member.peerAddress)?.logReachable);
    return !anyReaches && (heard.length + 1) * 2 > members.length;
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

  #note(address: string, status: HeartbeatResponse | HeartbeatRequest): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      this.#peers.set(address, {
        address,
        member: status.member,
        lastHeardAt: now,
        viewNumber: status.viewNumber,
        logReachable: status.logReachable,
        refusals: 0,
      });
      const version = status.configurationVersion;
      if (version > this.#opts.configurationVersion()) this.#onDidSeeConfiguration.fire({ address, version });
    });
  }

  #noteWriter(instanceId: string, incarnation: string): void {
    if (this.#opts.views.current?.find({ instanceId, incarnation }) === undefined) return;
    this.#memberHeardAt = this.#opts.journal.confirmedAt;
  }

  #followList(scope: Scope.Scope): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const list = yield* Effect.catch(this.#opts.instances.list(), () => Effect.succeed(undefined));
        if (list !== undefined) {
          const own = list.filter(({ role, state }) =>
            role === InstanceRole.System && state === InstanceState.Live
          );
          this.#listed = new Set(own.map(({ address }) => address));
        }
        for (const address of this.#addresses()) yield* this.#startHeartbeats(address, scope);
        yield* Effect.sleep(LIST_INTERVAL_MS);
      }
    });
  }

  #addresses(): Set<string> {
    const members = this.#opts.views.current?.members ?? [];
    const known = [...this.#listed, ...members.map((member) => member.peerAddress), ...this.#peers.keys()];
    const addresses = new Set(known);
    addresses.delete(this.#opts.self.peerAddress);
    return addresses;
  }

  #startHeartbeats(address: string, scope: Scope.Scope): Effect.Effect<void> {
    if (this.#fibers.has(address)) return Effect.void;
    return Effect.map(Effect.forkIn(this.#beat(address), scope), (fiber) => {
      this.#fibers.set(address, fiber);
    });
  }

  /** One fiber per peer: sends heartbeats until the peer is neither listed nor a member, and silent. */
  #beat(address: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { timing, peers } = this.#opts;
      while (true) {
        yield* Effect.sleep(timing.heartbeatMs);
        if (this.#isInformed(address, yield* Clock.currentTimeMillis)) continue;
        const req = create(HeartbeatRequestSchema, this.#ownStatus());
        const reply = peers.call(address, {
          timeoutMs: timing.failureTimeoutMs / 2,
          invoke: (client, signal) => client.heartbeat(req, { signal }),
        });
        const outcome = yield* Effect.result(reply);
        if (Result.isSuccess(outcome)) yield* this.#note(address, outcome.success);
        else this.#noteFailure(address, outcome.failure);
        if (Result.isFailure(outcome) && this.#isForgotten(address)) break;
      }
      this.#fibers.delete(address);
      this.#peers.delete(address);
    });
  }

  /** Of two instances the one with the lower id sends; the other only when it has not heard from it. */
  #isInformed(address: string, now: number): boolean {
    const status = this.#peers.get(address);
    const isSender = status?.member === undefined || this.#opts.self.instanceId < status.member.instanceId;
    return !isSender && now - status.lastHeardAt < this.#opts.timing.heartbeatMs * MISSED_HEARTBEAT;
  }

  #noteFailure(address: string, err: PeerError): void {
    const status = this.#peers.get(address);
    if (status !== undefined) status.refusals = err.isRefused ? status.refusals + 1 : 0;
  }

  #isForgotten(address: string): boolean {
    const members = this.#opts.views.current?.members ?? [];
    return !this.#listed.has(address) && !members.some((member) => member.peerAddress === address);
  }

  #proposeForever(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#opts.journal.caughtUp;
      while (true) {
        yield* Effect.sleep(this.#opts.timing.heartbeatMs);
        const now = yield* Clock.currentTimeMillis;
        const next = this.#wishedView(now);
        if (next === undefined) continue;
        const pending = this.#opts.journal.append(
          create(RecordSchema, { body: { case: "view", value: next } }),
        );
        yield* pending.receipt;
      }
    });
  }

  /** The view to propose now, or undefined when there is none or another member's turn to propose it. */
  #wishedView(now: number): ViewRecord | undefined {
    const { views, journal, timing, self } = this.#opts;
    const view = views.current;
    const wished = this.#liveMembers(now);
    const key = describe(wished);
    if (key !== this.#wished) {
      this.#wished = key;
      this.#wishedSince = now;
    }
    if (journal.unavailableSince !== undefined) return undefined;
    if (view !== undefined && describe(view.members) === key) return undefined;
    if (now - this.#wishedSince < timing.heartbeatMs * DEBOUNCE_HEARTBEATS) return undefined;
    if (!this.#mayPropose(now)) return undefined;
    const isMember = (member: Member) => view === undefined || view.find(member) !== undefined;
    const proposers = wished.filter((member) => view?.find(self) === undefined || isMember(member));
    if (proposers[0]?.instanceId !== self.instanceId) return undefined;
    return makeNextView(view, wished);
  }

  /**
   * A member may propose at any time. An instance outside the view has been voted out or is new: it
   * waits to be taken in, unless the members have gone silent in the journal too.
   */
  #mayPropose(now: number): boolean {
    const { views, timing, self } = this.#opts;
    if (views.current === undefined) return now - this.#startedAt >= timing.failureTimeoutMs;
    if (views.current.find(self) !== undefined) return true;
    return now - this.#memberHeardAt >= timing.viewSilenceMs;
  }

  /** Members that answered within the failure timeout, and this instance, in the order of their ids. */
  #liveMembers(now: number): Member[] {
    const live = new Map([[this.#opts.self.instanceId, this.#opts.self]]);
    const heard = [...this.#peers.values()].sort((a, b) => a.lastHeardAt - b.lastHeardAt);
    for (const status of heard) {
      const { member, lastHeardAt } = status;
      if (member === undefined || member.instanceId === this.#opts.self.instanceId || isGone(status)) {
        continue;
      }
      if (now - lastHeardAt <= this.#opts.timing.failureTimeoutMs) live.set(member.instanceId, member);
    }
    return [...live.values()].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
  }

  /** The first member repeats the view in the journal, as a sign of life and for readers that start late. */
  #repeatView(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(this.#opts.timing.viewSilenceMs / CHECKPOINTS_PER_SILENCE);
        const view = this.#opts.views.current;
        if (view === undefined || !isSameRun(view.members[0], this.#opts.self)) continue;
        if (this.#opts.journal.unavailableSince !== undefined) continue;
        const record = create(RecordSchema, { body: { case: "view", value: view.toCheckpoint() } });
        yield* this.#opts.journal.append(record).receipt;
      }
    });
  }
}

function isGone({ refusals }: IPeerStatus): boolean {
  return refusals >= REFUSALS_TO_GONE;
}

function describe(members: readonly Member[]): string {
  return members.map((member) => `${member.instanceId}/${member.incarnation}/${member.state}`).join(" ");
}
