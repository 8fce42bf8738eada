/** Decides which reports an instance sends to which others, and evaluates theirs. */
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { KnownInstances } from "../../call/common/known_instances.ts";
import type { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import type { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { AggregatorReports } from "./aggregator_reports.ts";
import { toLimitMessage } from "../../call/common/limit_message.ts";
import type { LimitForwarder } from "./limit_forwarder.ts";
import { MemberReports } from "./member_reports.ts";
import type { IOutgoingReport } from "./outgoing_report.ts";
import { AGGREGATED_INTERVAL_MS, makeDigest, makeEventDigest, makeFarewell } from "./outgoing_report.ts";
import type { ReportContents } from "./report_contents.ts";
import { loadsOf } from "./report_contents.ts";
import { countEvents } from "./report_events.ts";
import { ReportContact } from "./report_contact.ts";
import { ReportGroup } from "./report_group.ts";
import { ReportTopology } from "./report_topology.ts";
import { SendPacer } from "./send_pacer.ts";
import { toUsableReport } from "./usable_report.ts";

/** Interval between reports to all owners, of which there are few; short compared with the duration of a request. */
const DIRECT_INTERVAL_MS = 100;
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
/** Number of hosts that are remembered, so that each is logged only once. */
const MAX_REMEMBERED_SENDERS = 1000;
/** Name under which the loads of a summary are recorded. */
const SUMMARY = "summary";

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

/**
 * Small deployments report from each to all. Where there may be instances without a slice, which the others do not know,
 * each reports to one aggregator, and receives from it the sums over all. Performs no I/O.
 */
export class ReportExchange {
  readonly #opts: IReportExchangeOptions;
  readonly #group: ReportGroup;
  readonly #membership: MemberReports;
  readonly #aggregation: AggregatorReports;
  readonly #directPacer: SendPacer;
  readonly #contact: ReportContact;
  readonly #onDidHurry = new Emitter<number>();
  /** Fires when a message becomes due before the next regular one, with the time until then in ms. */
  readonly onDidHurry: Event<number> = this.#onDidHurry.event;
  #ownerHosts: readonly string[] = [];
  #topology = new ReportTopology([]);
  #role = ReportRole.Direct;
  #roleSinceMs = -Infinity;
  #nextAtMs = -Infinity;
  #urgentAtMs = Infinity;
  #farewells: IOutgoingReport[] = [];
  /** Hosts of which an unusable report has been logged. */
  readonly #unusableSenders = new Set<string>();
  #instanceCount = 0;
  #instanceCountAtMs = -Infinity;

  constructor(opts: IReportExchangeOptions) {
    this.#opts = opts;
    const { instance, host, contents, logger, now } = opts;
    this.#group = new ReportGroup(host, now);
    this.#membership = new MemberReports({ instance, host, contents, logger, now });
    this.#aggregation = new AggregatorReports({ instance, group: this.#group, contents, now });
    this.#directPacer = new SendPacer(now);
    this.#contact = new ReportContact(now);
    opts.streams.observeContact(() => this.#contact.sinceMs);
    opts.streams.onDidBegin(() => this.#hurry(STREAM_DELAY_MS));
  }

  get role(): ReportRole {
    return this.#role;
  }

  /** Hosts of the other aggregators; empty while instances report to all owners. */
  get aggregators(): readonly string[] {
    return this.#isDirect ? [] : this.#others(this.#topology.aggregators);
  }

  get memberCount(): number {
    return this.#group.members.length;
  }

  /** Time since the last summary, in ms; undefined if this instance receives none. */
  get summaryAgeMs(): number | undefined {
    return this.#role === ReportRole.Member ? this.#membership.summaryAgeMs : undefined;
  }

  /** Number of all instances as last known from aggregators, this one included; 0 if it is not known or there are none. */
  get instanceCount(): number {
    return this.#isDirect ? 0 : this.#instanceCount;
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
  receive(received: LoadDigest, sender: string): void {
    const { contents, metrics, now } = this.#opts;
    const report = toUsableReport(received, now());
    if (report === undefined || report.unusable > 0) this.#logUnusable(sender, report?.unusable);
    if (report === undefined) return;
    const { digest } = report;
    metrics.incrementCounter("reports_received", { kind: ReportKind[digest.kind] ?? "unknown" });
    contents.mergeEvents(digest);
    if (digest.kind === ReportKind.SUMMARY) this.#receiveSummary(digest, sender);
    else if (digest.instance !== "") this.#receiveReport(digest, sender);
    this.#relay(digest, sender);
  }

  /** Logs the first of the unusable reports of a sender, which may send one several times a second. */
  #logUnusable(sender: string, unusable: number | undefined): void {
    if (this.#unusableSenders.has(sender) || this.#unusableSenders.size >= MAX_REMEMBERED_SENDERS) return;
    this.#unusableSenders.add(sender);
    this.#opts.logger.warn("report-unusable", { sender, unusable });
  }

  get #isDirect(): boolean {
    return !this.#topology.isAggregated && this.#role === ReportRole.Direct;
  }

  get #intervalMs(): number {
    return this.#role === ReportRole.Direct ? DIRECT_INTERVAL_MS : AGGREGATED_INTERVAL_MS;
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
    const { ownerHosts } = this.#opts;
    this.#group.evict();
    const hosts = ownerHosts();
    if (hosts !== this.#ownerHosts) {
      this.#ownerHosts = hosts;
      this.#topology = new ReportTopology(hosts);
      this.#membership.setAggregators(this.#others(this.#topology.aggregators));
    }
    const role = this.#selectRole();
    if (role !== this.#role) this.#changeRole(role);
    this.#forgetFormerLoads();
  }

  /** An owner that has or hears members of others is an aggregator, as the others' sums contain its own reports otherwise. */
  #selectRole(): ReportRole {
    const { host } = this.#opts;
    const { isAggregated, aggregators, owners } = this.#topology;
    if (this.#group.members.length > 0) return ReportRole.Aggregator;
    if (owners.length === 0) return ReportRole.Direct;
    if (!owners.includes(host)) return ReportRole.Member;
    if (isAggregated) return aggregators.includes(host) ? ReportRole.Aggregator : ReportRole.Member;
    return this.#group.hasOtherGroups ? ReportRole.Aggregator : ReportRole.Direct;
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
      const { instance } = this.#opts;
      this.#farewells.push(makeFarewell(this.#groupRecipients, { kind: ReportKind.GROUP, instance }));
    }
    this.#role = role;
    this.#roleSinceMs = this.#opts.now();
    this.#membership.sendNext();
    this.#aggregation.sendNext();
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
        return this.#membership.take();
      case ReportRole.Aggregator:
        return [...this.#takeAggregated(), ...this.#takeLimits()];
    }
  }

  #takeLimits(): IOutgoingReport[] {
    return this.#opts.limitForwarder.takeDue().map(({ recipients, limits }) => ({
      recipients,
      digest: makeEventDigest({ limits: limits.map(toLimitMessage) }),
    }));
  }

  #takeUrgent(): IOutgoingReport[] {
    switch (this.#role) {
      case ReportRole.Direct:
        return this.#takeDirect();
      case ReportRole.Member:
        return this.#membership.takeUrgent();
      case ReportRole.Aggregator:
        return this.#aggregation.takeUrgent(this.#groupRecipients);
    }
  }

  #takeDirect(): IOutgoingReport[] {
    const { instance, contents } = this.#opts;
    const { loads, isCutOff } = contents;
    const events = contents.takeEvents({ isOwnOnly: false });
    const isEmpty = loads.size + countEvents(events) === 0 && !isCutOff;
    // Peers notice by the empty ones that they are not cut off.
    if (!this.#directPacer.takeDue({ isEmpty })) return [];
    const digest = makeDigest(loads, { instance, isCutOff, ...events });
    return [{ recipients: this.#others(this.#topology.owners), digest }];
  }

  /** Other aggregators, as this instance's table or their messages show. */
  get #groupRecipients(): string[] {
    const { isAggregated, aggregators, owners } = this.#topology;
    return [...new Set([...this.#others(isAggregated ? aggregators : owners), ...this.#group.aggregators])];
  }

  #takeAggregated(): IOutgoingReport[] {
    const { messages, instanceCount } = this.#aggregation.take(this.#groupRecipients);
    this.#recordInstanceCount(instanceCount, { isPartial: this.#isPartitioned });
    return messages;
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
    const running = this.#membership.receiveSummary(digest, sender);
    this.#opts.loads.replacePeerReports({ instance: SUMMARY, running });
    this.#recordInstanceCount(digest.instanceCount, { isPartial: false });
    this.#recordCutOffs(digest);
  }

  #recordCutOffs({ cutOffHosts }: LoadDigest): void {
    for (const host of this.#others(cutOffHosts)) this.#opts.instances.recordCutOff(host);
  }

  #receiveReport(digest: LoadDigest, sender: string): void {
    const { loads, instances } = this.#opts;
    const { kind, instance, isCutOff, instanceCount } = digest;
    instances.recordReport(sender, { isCutOff });
    this.#recordCutOffs(digest);
    const running = loadsOf(digest);
    // A member reports to one aggregator, which is not cut off from the others if it loses most members.
    if (kind !== ReportKind.MEMBER) this.#contact.record(sender, { isIdle: running.size === 0 });
    const isNew = this.#group.record(sender, digest, running);
    if (isNew && kind === ReportKind.MEMBER) this.#aggregation.sendNextSummary();
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
        return this.#membership.summaryAgeMs > SUMMARY_TTL_MS;
      case ReportRole.Aggregator:
        return kind !== ReportKind.UNSPECIFIED || this.#group.isResponsibleFor(sender);
    }
  }

  /** Passes on the events of a message. The first report of a member makes this instance an aggregator. */
  #relay(digest: LoadDigest, sender: string): void {
    const isAggregator = this.#role === ReportRole.Aggregator || digest.kind === ReportKind.MEMBER;
    if (!isAggregator || digest.kind === ReportKind.SUMMARY) return;
    if (this.#aggregation.relay(digest, sender)) this.#hurry(RELAYED_STREAM_DELAY_MS);
  }
}
