/** Decides which reports an instance sends to which others, and evaluates theirs. */
import { create } from "@bufbuild/protobuf";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { LoadDigestSchema, ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { KnownInstances } from "../../call/common/known_instances.ts";
import type { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import type { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { AggregatorSelector } from "./aggregator_selector.ts";
import { toLimitMessage } from "../../call/common/limit_message.ts";
import type { LimitForwarder } from "./limit_forwarder.ts";
import type { ReportContents, ServerLoads } from "./report_contents.ts";
import { loadsOf } from "./report_contents.ts";
import type { ReportEvents } from "./report_events.ts";
import { countEvents, EventRelay, joinEvents } from "./report_events.ts";
import type { IReportSums } from "./report_group.ts";
import { ReportGroup, subtractLoads } from "./report_group.ts";
import { rendezvousOrder, ReportTopology } from "./report_topology.ts";
import { SendPacer } from "./send_pacer.ts";

/** Interval between reports to all owners; short compared with the duration of a request. */
const MIN_DIRECT_INTERVAL_MS = 100;
/** Added to that interval per peer; limits what an instance receives to 125 reports per second. */
const DIRECT_INTERVAL_PER_PEER_MS = 8;
/** Interval between the messages from and to aggregators while there is something to report. */
const AGGREGATED_INTERVAL_MS = 150;
/** Delay of the report on a stream that has begun; collects those that begin together. */
const STREAM_DELAY_MS = 5;
/** Delay with which an aggregator passes on a stream that has begun. */
const RELAYED_STREAM_DELAY_MS = 20;
/** Time after a change of role in which what was known in the former role still counts, in ms. */
const ROLE_CHANGE_MS = 2 * AGGREGATED_INTERVAL_MS;
/** Time for which the largest number of instances counts: that of an interrupted network is lower. */
const INSTANCE_COUNT_TTL_MS = 10_000;
/** Time after which the loads of a summary are out of date. */
const SUMMARY_TTL_MS = 1500;
/** Name under which the loads of a summary are recorded. */
const SUMMARY = "summary";

const NO_EVENTS: ReportEvents = {
  strikeChanges: [],
  prefixes: [],
  streams: [],
  leaving: [],
  limits: [],
  latencySamples: [],
};

export enum ReportRole {
  /** Reports to all owners of slices. */
  Direct = "direct",
  /** Reports to one aggregator. */
  Member = "member",
  Aggregator = "aggregator",
}

export interface IReportExchangeOptions {
  readonly instance: string;
  /** Host at which other instances reach this one. */
  readonly host: string;
  /** Host of each slice's owner; empty for a slice without one. The same array as before if no owner has changed. */
  readonly ownerHosts: () => readonly string[];
  readonly contents: ReportContents;
  readonly loads: BackendLoadTracker;
  readonly streams: StreamOriginRegistry;
  readonly instances: KnownInstances;
  readonly limitForwarder: LimitForwarder;
  readonly metrics: Metrics;
  readonly logger: ILogger;
  readonly now: () => number;
}

/** A message to some instances. */
export interface IOutgoingReport {
  /** Hosts. */
  readonly recipients: readonly string[];
  readonly digest: LoadDigest;
}

/**
 * Small deployments report from each to all. Where there may be instances without a slice, which the others do not know,
 * each reports to one aggregator, and receives from it the sums over all. Performs no I/O.
 */
export class ReportExchange {
  readonly #opts: IReportExchangeOptions;
  readonly #group: ReportGroup;
  readonly #selector: AggregatorSelector;
  readonly #toAggregators: EventRelay;
  readonly #toMembers: EventRelay;
  readonly #directPacer: SendPacer;
  readonly #memberPacer: SendPacer;
  readonly #groupPacer: SendPacer;
  readonly #summaryPacer: SendPacer;
  readonly #onDidHurry = new Emitter<number>();
  /** Fires when a message becomes due before the next regular one, with the time until then in ms. */
  readonly onDidHurry: Event<number> = this.#onDidHurry.event;
  #ownerHosts: readonly string[] = [];
  #topology = new ReportTopology([]);
  #role = ReportRole.Direct;
  #roleSinceMs = -Infinity;
  #nextAtMs = -Infinity;
  #urgentAtMs = Infinity;
  #aggregator: string | undefined;
  #reportedLoads: ServerLoads = new Map();
  #summaryAtMs = -Infinity;
  #farewells: IOutgoingReport[] = [];
  #instanceCount = 0;
  #instanceCountAtMs = -Infinity;

  constructor(opts: IReportExchangeOptions) {
    this.#opts = opts;
    const { host, logger, now } = opts;
    this.#group = new ReportGroup(host, now);
    this.#selector = new AggregatorSelector(logger, now);
    this.#toAggregators = new EventRelay(now);
    this.#toMembers = new EventRelay(now);
    this.#directPacer = new SendPacer(now, Infinity);
    [this.#memberPacer, this.#groupPacer, this.#summaryPacer] = [1, 2, 3].map(() => new SendPacer(now));
    opts.streams.onDidBegin(() => this.#hurry(STREAM_DELAY_MS));
  }

  get role(): ReportRole {
    return this.#role;
  }

  /** Hosts of the other aggregators; empty while instances report to all owners. */
  get aggregators(): readonly string[] {
    return this.#topology.isAggregated ? this.#others(this.#topology.aggregators) : [];
  }

  get memberCount(): number {
    return this.#group.members.length;
  }

  /** Time since the last summary, in ms; undefined if this instance receives none. */
  get summaryAgeMs(): number | undefined {
    return this.#role === ReportRole.Member ? this.#opts.now() - this.#summaryAtMs : undefined;
  }

  /** Number of all instances as last known from aggregators, this one included; 0 if it is not known. */
  get instanceCount(): number {
    return this.#instanceCount;
  }

  /** Time until the next regular messages, in ms. */
  get nextDueInMs(): number {
    return Math.max(0, this.#nextAtMs - this.#opts.now());
  }

  /** Returns the messages that are due now. */
  takeDue(): IOutgoingReport[] {
    const now = this.#opts.now();
    const isRegular = now >= this.#nextAtMs;
    if (!isRegular && now < this.#urgentAtMs) return [];
    this.#urgentAtMs = Infinity;
    this.#updateRole();
    const messages = [...this.#farewells, ...isRegular ? this.#takeRegular() : this.#takeUrgent()];
    this.#farewells = [];
    if (isRegular) this.#nextAtMs = now + this.#intervalMs;
    const sent = messages.filter(({ recipients }) => recipients.length > 0);
    for (const { digest: { kind }, recipients } of sent) {
      this.#opts.metrics.incrementCounter("reports_sent", { kind: ReportKind[kind] }, recipients.length);
    }
    return sent;
  }

  /** Evaluates a message of another instance. */
  receive(digest: LoadDigest, sender: string): void {
    const { contents, metrics } = this.#opts;
    metrics.incrementCounter("reports_received", { kind: ReportKind[digest.kind] ?? "unknown" });
    contents.mergeEvents(digest);
    if (digest.kind === ReportKind.SUMMARY) this.#receiveSummary(digest, sender);
    else if (digest.instance !== "") this.#receiveReport(digest, sender);
    this.#relay(digest, sender);
  }

  get #intervalMs(): number {
    if (this.#role !== ReportRole.Direct) return AGGREGATED_INTERVAL_MS;
    const peers = this.#others(this.#topology.owners).length;
    return Math.max(MIN_DIRECT_INTERVAL_MS, peers * DIRECT_INTERVAL_PER_PEER_MS);
  }

  #others(hosts: readonly string[]): string[] {
    return hosts.filter((host) => host !== this.#opts.host);
  }

  #hurry(delayMs: number): void {
    const dueAtMs = this.#opts.now() + delayMs;
    if (dueAtMs >= this.#urgentAtMs) return;
    this.#urgentAtMs = dueAtMs;
    this.#onDidHurry.fire(delayMs);
  }

  #updateRole(): void {
    const { host, ownerHosts } = this.#opts;
    this.#group.evict();
    const hosts = ownerHosts();
    if (hosts !== this.#ownerHosts) {
      this.#ownerHosts = hosts;
      this.#topology = new ReportTopology(hosts);
      this.#selector.setOrder(rendezvousOrder(host, this.#others(this.#topology.aggregators)));
    }
    const { isAggregated, aggregators } = this.#topology;
    const isAggregator = this.#group.members.length > 0 || (isAggregated && aggregators.includes(host));
    const role = isAggregator ? ReportRole.Aggregator : isAggregated ? ReportRole.Member : ReportRole.Direct;
    if (role !== this.#role) this.#changeRole(role);
    this.#forgetFormerLoads();
  }

  #changeRole(role: ReportRole): void {
    const { owners, isAggregated, aggregators } = this.#topology;
    this.#opts.logger.info("report-role", {
      role,
      former: this.#role,
      isAggregated,
      slices: this.#ownerHosts.length,
      owners: owners.length,
      aggregators: aggregators.length,
      members: this.#group.members.length,
    });
    if (role === ReportRole.Member) this.#opts.streams.setIncomplete();
    else if (this.#role === ReportRole.Member) this.#opts.streams.setComplete();
    if (this.#role === ReportRole.Aggregator) {
      this.#farewells.push(this.#leave(this.#groupRecipients, ReportKind.GROUP));
    }
    this.#role = role;
    this.#roleSinceMs = this.#opts.now();
    for (const pacer of [this.#memberPacer, this.#groupPacer, this.#summaryPacer]) pacer.sendNext();
  }

  /** Forgets the loads that only the former role's reports contain, once there are others. */
  #forgetFormerLoads(): void {
    if (this.#opts.now() - this.#roleSinceMs < ROLE_CHANGE_MS || this.#role === ReportRole.Member) return;
    this.#opts.loads.removePeerReport(SUMMARY);
  }

  #takeRegular(): IOutgoingReport[] {
    switch (this.#role) {
      case ReportRole.Direct:
        return [...this.#takeDirect(), ...this.#takeLimits()];
      case ReportRole.Member:
        return this.#takeMember();
      case ReportRole.Aggregator:
        return [...this.#takeAggregated(), ...this.#takeLimits()];
    }
  }

  #takeLimits(): IOutgoingReport[] {
    return this.#opts.limitForwarder.takeDue().map(({ recipients, limits }) => ({
      recipients,
      digest: create(LoadDigestSchema, { limits: limits.map(toLimitMessage) }),
    }));
  }

  #takeUrgent(): IOutgoingReport[] {
    if (this.#role === ReportRole.Direct) return this.#takeDirect();
    const { contents } = this.#opts;
    const streams = [...this.#toAggregators.takeStreams(), ...contents.recentStreams()];
    if (streams.length === 0) return [];
    const recipients = this.#role === ReportRole.Aggregator
      ? this.#groupRecipients
      : [this.#aggregator ?? ""].filter((host) => host !== "");
    const kind = this.#role === ReportRole.Aggregator ? ReportKind.GROUP : ReportKind.MEMBER;
    return [{ recipients, digest: create(LoadDigestSchema, { kind, streams }) }];
  }

  #takeDirect(): IOutgoingReport[] {
    const { instance, contents } = this.#opts;
    const { loads, isCutOff } = contents;
    const events = contents.takeEvents({ isOwnOnly: false });
    const isEmpty = loads.size + countEvents(events) === 0 && !isCutOff;
    // One empty report follows the last load, so that peers discard the previous one.
    if (!this.#directPacer.takeDue({ isEmpty })) return [];
    const digest = create(LoadDigestSchema, { instance, loads: toMessages(loads), isCutOff, ...events });
    return [{ recipients: this.#others(this.#topology.owners), digest }];
  }

  #takeMember(): IOutgoingReport[] {
    const { contents } = this.#opts;
    const former = this.#aggregator;
    this.#aggregator = this.#selector.select();
    if (this.#aggregator !== former) this.#memberPacer.sendNext();
    const messages = this.#aggregator === former || former === undefined
      ? []
      : [this.#leave([former], ReportKind.MEMBER)];
    const probe = this.#selector.takeProbe();
    if (probe !== undefined) messages.push({ recipients: [probe], digest: this.#memberDigest(new Map()) });
    if (this.#aggregator === undefined) return messages;
    const { loads, isCutOff } = contents;
    const events = contents.takeEvents({ isOwnOnly: true });
    const isEmpty = loads.size + countEvents(events) === 0 && !isCutOff;
    if (!this.#memberPacer.takeDue({ isEmpty })) return messages;
    this.#reportedLoads = loads;
    const digest = this.#memberDigest(loads, events);
    return [...messages, { recipients: [this.#aggregator], digest }];
  }

  #memberDigest(loads: ServerLoads, events = NO_EVENTS): LoadDigest {
    const { instance, contents: { isCutOff } } = this.#opts;
    const kind = ReportKind.MEMBER;
    return create(LoadDigestSchema, {
      kind,
      instance,
      loads: toMessages(loads),
      isCutOff,
      instanceCount: 1,
      ...events,
    });
  }

  /** Has instances forget what this one has last reported, so that its load is not counted twice. */
  #leave(recipients: readonly string[], kind: ReportKind): IOutgoingReport {
    const { instance } = this.#opts;
    return { recipients, digest: create(LoadDigestSchema, { kind, instance, instanceCount: 0 }) };
  }

  /** Other aggregators, as this instance's table or their messages show. */
  get #groupRecipients(): string[] {
    const { isAggregated, aggregators, owners } = this.#topology;
    return [...new Set([...this.#others(isAggregated ? aggregators : owners), ...this.#group.aggregators])];
  }

  #takeAggregated(): IOutgoingReport[] {
    const { contents } = this.#opts;
    const own = contents.takeEvents({ isOwnOnly: true });
    const group = this.#group.sumGroup(contents);
    const all = this.#group.sumAll(group);
    this.#recordInstanceCount(all.instanceCount, { isPartial: this.#isPartitioned });
    const groupEvents = joinEvents(this.#toAggregators.take(), own);
    const allEvents = joinEvents(this.#toMembers.take(), own);
    const messages: IOutgoingReport[] = [];
    if (this.#groupPacer.takeDue({ isEmpty: isEmptyReport(group, groupEvents) })) {
      const digest = this.#sumDigest(group, { kind: ReportKind.GROUP, events: groupEvents });
      messages.push({ recipients: this.#groupRecipients, digest });
    }
    if (this.#summaryPacer.takeDue({ isEmpty: isEmptyReport(all, allEvents) })) {
      const digest = this.#sumDigest(all, { kind: ReportKind.SUMMARY, events: allEvents });
      messages.push({ recipients: this.#group.members, digest });
    }
    // Direct reporters know each other's loads, which the sums contain.
    const direct = countEvents(allEvents) === 0 ? [] : this.#group.directReporters;
    if (direct.length > 0) messages.push({ recipients: direct, digest: create(LoadDigestSchema, allEvents) });
    return messages;
  }

  #sumDigest(
    { loads, instanceCount, cutOffHosts }: IReportSums,
    { kind, events }: { kind: ReportKind; events: ReportEvents },
  ): LoadDigest {
    const { instance, contents: { isCutOff } } = this.#opts;
    return create(LoadDigestSchema, {
      kind,
      instance,
      loads: toMessages(loads),
      instanceCount,
      cutOffHosts: [...cutOffHosts],
      isCutOff,
      ...events,
    });
  }

  /** Whether most of the other aggregators are not heard. */
  get #isPartitioned(): boolean {
    return this.#group.aggregators.length < this.aggregators.length / 2;
  }

  #recordInstanceCount(count: number, { isPartial }: { isPartial: boolean }): void {
    const now = this.#opts.now();
    const isStale = now - this.#instanceCountAtMs > INSTANCE_COUNT_TTL_MS;
    if (isPartial || (count < this.#instanceCount && !isStale)) return;
    this.#instanceCount = count;
    this.#instanceCountAtMs = now;
  }

  #receiveSummary(digest: LoadDigest, sender: string): void {
    if (this.#role !== ReportRole.Member || digest.instance === "") return;
    const { loads, instances, now } = this.#opts;
    this.#selector.recordSummary(sender, { isEmpty: digest.loads.length + countEvents(digest) === 0 });
    this.#summaryAtMs = now();
    this.#recordInstanceCount(digest.instanceCount, { isPartial: false });
    for (const host of digest.cutOffHosts) if (host !== this.#opts.host) instances.recordCutOff(host);
    const running = subtractLoads(loadsOf(digest), this.#reportedLoads);
    loads.replacePeerReports({ instance: SUMMARY, running });
  }

  #receiveReport(digest: LoadDigest, sender: string): void {
    const { loads, instances, host } = this.#opts;
    const { kind, instance, isCutOff, instanceCount } = digest;
    instances.recordReport(sender, { isCutOff });
    for (const cutOff of digest.cutOffHosts) if (cutOff !== host) instances.recordCutOff(cutOff);
    const running = loadsOf(digest);
    const isNew = this.#group.record(sender, digest, running);
    if (isNew && kind === ReportKind.MEMBER) this.#summaryPacer.sendNext();
    const isForgotten = kind !== ReportKind.UNSPECIFIED && instanceCount === 0;
    if (isForgotten) loads.removePeerReport(instance);
    else if (this.#counts(kind, sender)) loads.recordPeerReport({ instance, running });
  }

  /** Whether the loads of a report are not contained in others that this instance receives. */
  #counts(kind: ReportKind, sender: string): boolean {
    switch (this.#role) {
      case ReportRole.Direct:
        return true;
      case ReportRole.Member:
        return this.#opts.now() - this.#summaryAtMs > SUMMARY_TTL_MS;
      case ReportRole.Aggregator:
        return kind !== ReportKind.UNSPECIFIED || this.#group.isResponsibleFor(sender);
    }
  }

  /** Passes on the events of a message: those of a member to all, those of a group to members. */
  #relay(digest: LoadDigest, sender: string): void {
    const { kind } = digest;
    // The first report of a member makes this instance an aggregator.
    const isAggregator = this.#role === ReportRole.Aggregator || kind === ReportKind.MEMBER;
    if (!isAggregator || kind === ReportKind.SUMMARY) return;
    const isDirect = kind === ReportKind.UNSPECIFIED;
    if (isDirect && (digest.instance === "" || !this.#group.isResponsibleFor(sender))) return;
    this.#toMembers.add(digest);
    if (kind === ReportKind.GROUP) return;
    this.#toAggregators.add(digest);
    if (digest.streams.length > 0) this.#hurry(RELAYED_STREAM_DELAY_MS);
  }
}

function isEmptyReport({ loads, cutOffHosts }: IReportSums, events: ReportEvents): boolean {
  return loads.size + cutOffHosts.length + countEvents(events) === 0;
}

function toMessages(loads: ServerLoads) {
  return [...loads].filter(([, running]) => running > 0)
    .map(([backendId, running]) => ({ backendId, running }));
}
