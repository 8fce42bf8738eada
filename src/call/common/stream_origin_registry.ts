/** Remembers which software began the streams that callers may resume, on this and the other instances. */
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { IResumedStream, IStreamOrigin } from "./stream_origin.ts";
import { isUsableTime } from "./usable_messages.ts";

/** How long a stream can be resumed, in ms: longer than the deadline of any caller. */
const RETENTION_MS = 30_000;
/** Maximum number of streams that are remembered; the oldest are forgotten first. */
const MAX_STREAMS = 20_000;
/** How long a stream is repeated in the reports to the other instances, in ms: datagrams may be lost. */
const REPORT_REPEAT_MS = 250;
/**
 * Time from which an instance is sent all streams that others begin, in ms after its start or after it has become an
 * aggregator of reports: it joins the group within a second, and the others read the owners of slices every 1.5 s.
 */
const COMPLETE_AFTER_MS = 2500;
/** Maximum number of streams in one report, so that it fits into a datagram. */
const MAX_REPORTED_STREAMS = 100;

/** The origin of a stream and the caller's attempt that brought its first event. */
export interface IBegunStream extends IStreamOrigin {
  readonly softwareVersion: string;
  readonly attemptId: string;
  /** Hash of the request's content and session. */
  readonly contentKey: bigint;
  /** Unix time of the first event, in ms, by the clock of the instance that relayed it. */
  readonly atMs: number;
}

export class StreamOriginRegistry {
  readonly #now: () => number;
  readonly #streams = new Map<string, IBegunStream>();
  readonly #byContent = new Map<bigint, readonly IBegunStream[]>();
  readonly #own: IBegunStream[] = [];
  readonly #onDidBegin = new Emitter<IBegunStream>();
  /** Fires when this instance has relayed the first event of a stream. */
  readonly onDidBegin: Event<IBegunStream> = this.#onDidBegin.event;

  #completeSinceMs: number;
  #contactSinceMs = () => -Infinity;

  /** `now` returns the Unix time in ms. */
  constructor(now: () => number) {
    this.#now = now;
    this.#completeSinceMs = now() + COMPLETE_AFTER_MS;
  }

  /**
   * Unix time in ms from which this instance knows all streams that any instance begins, within milliseconds; `Infinity` if
   * it is told of them later.
   */
  get completeSinceMs(): number {
    return Math.max(this.#completeSinceMs, this.#contactSinceMs());
  }

  /** Provides the Unix time in ms from which this instance has heard the others without a gap. */
  observeContact(contactSinceMs: () => number): void {
    this.#contactSinceMs = contactSinceMs;
  }

  /** Records that other instances tell this one of the streams that they begin at once. */
  setComplete(): void {
    this.#completeSinceMs = this.#now() + COMPLETE_AFTER_MS;
  }

  /** Records that this instance learns from an aggregator's next summary which streams others have begun. */
  setIncomplete(): void {
    this.#completeSinceMs = Infinity;
  }

  get size(): number {
    return this.#streams.size;
  }

  /** Records that this instance is relaying the first event of a caller's attempt. */
  record(
    { attemptId, contentKey }: { attemptId: string; contentKey: bigint },
    { service, softwareVersion }: IStreamOrigin,
  ): void {
    if (softwareVersion === undefined) return;
    const stream = { attemptId, contentKey, service, softwareVersion, atMs: this.#now() };
    this.add(stream);
    this.#own.push(stream);
    this.#onDidBegin.fire(stream);
  }

  /** Adds a stream that another instance, or this one before a restart, has begun. */
  add(stream: IBegunStream): void {
    if (!this.#isUsable(stream) || this.#streams.has(stream.attemptId)) return;
    this.#streams.set(stream.attemptId, stream);
    const sameContent = this.#byContent.get(stream.contentKey) ?? [];
    this.#byContent.set(stream.contentKey, [...sameContent, stream]);
    this.#evict();
  }

  /** Adds a stream that this instance has begun before a restart. */
  restore(stream: IBegunStream): void {
    if (!this.#isUsable(stream)) return;
    this.add(stream);
    this.#own.push(stream);
  }

  /** Returns the streams that a caller may mean: the one that it names, or all of its request's tries. */
  list({ attemptId, contentKey }: IResumedStream): IBegunStream[] {
    if (attemptId === undefined) return (this.#byContent.get(contentKey) ?? []).filter(this.#isCurrent);
    const stream = this.#streams.get(attemptId);
    return stream === undefined ? [] : [stream].filter(this.#isCurrent);
  }

  /**
   * Whether all tries that a caller may mean are known to an instance whose knowledge is complete from a time on. Without a
   * named attempt, the newest try counts, whose record may have been lost with its instance.
   */
  isConclusive(resumed: IResumedStream, completeSinceMs: number): boolean {
    const streams = this.list(resumed);
    if (resumed.attemptId !== undefined) return streams.length > 0;
    return streams.some(({ atMs }) => atMs >= completeSinceMs);
  }

  /** Returns the origin of a stream that a caller resumes; undefined if it is unknown or ambiguous. */
  find(resumed: IResumedStream): IStreamOrigin | undefined {
    const [first, ...others] = this.list(resumed);
    const isSame = ({ service, softwareVersion }: IBegunStream) =>
      service === first.service && softwareVersion === first.softwareVersion;
    return others.every(isSame) ? first : undefined;
  }

  /** Returns the streams that this instance has begun most recently, to be reported to the others. */
  recentStreams(withinMs = REPORT_REPEAT_MS): IBegunStream[] {
    const oldestMs = this.#now() - withinMs;
    return this.ownStreams().slice(-MAX_REPORTED_STREAMS).filter(({ atMs }) => atMs >= oldestMs);
  }

  /** Returns the streams of this instance that callers may still resume. */
  ownStreams(): readonly IBegunStream[] {
    const expired = this.#own.findIndex((stream) => !this.#isExpired(stream));
    this.#own.splice(0, expired < 0 ? this.#own.length : expired);
    return this.#own;
  }

  #evict(): void {
    for (const [attemptId, stream] of this.#streams) {
      if (this.#streams.size <= MAX_STREAMS && !this.#isExpired(stream)) return;
      this.#streams.delete(attemptId);
      const sameContent = (this.#byContent.get(stream.contentKey) ?? []).filter((other) => other !== stream);
      if (sameContent.length > 0) this.#byContent.set(stream.contentKey, sameContent);
      else this.#byContent.delete(stream.contentKey);
    }
  }

  /** One that never expires would keep all those after it. */
  #isUsable(stream: IBegunStream): boolean {
    return isUsableTime(stream.atMs, this.#now()) && !this.#isExpired(stream);
  }

  readonly #isCurrent = (stream: IBegunStream) => !this.#isExpired(stream);

  #isExpired({ atMs }: IBegunStream): boolean {
    return this.#now() - atMs > RETENTION_MS;
  }
}
