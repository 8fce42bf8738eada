/** Follows the ids of a stream's events, so that parts of it from several servers join without gaps or repetitions. */

/** Ids that can be compared without loss of precision. */
const ORDERED_ID = /^\d{1,15}$/;
/** Greatest id of a stream's first event from which ids are assumed to count the events. */
const MAX_FIRST_COUNT = 1;

/** What an event is to the events before it. */
export enum EventPosition {
  /** It may follow the last event. */
  Next = "next",
  /** The caller has it already, or a later one. */
  Earlier = "earlier",
  /** Events between it and the last one are missing. */
  AfterGap = "after-gap",
  /** Its place in the stream is unknown. */
  Unordered = "unordered",
}

export class EventOrder {
  #lastId: string | undefined;
  /** Difference between the ids of successive events; undefined while unknown, and if it varies. */
  #step: number | undefined;
  #isStepVarying = false;
  #hasUnordered = false;

  /** `lastId` is the last event that the caller has received of the stream that it resumes. */
  constructor(lastId?: string) {
    this.#lastId = lastId;
  }

  /** Id of the last event that the caller has received; undefined if none of them had an id. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Whether another server can be told where to go on. */
  get canResume(): boolean {
    return this.#lastId !== undefined && ORDERED_ID.test(this.#lastId) && !this.#hasUnordered;
  }

  positionOf(id: string | undefined): EventPosition {
    if (id === undefined || !ORDERED_ID.test(id)) return EventPosition.Unordered;
    const last = this.#lastId;
    if (last === undefined) return EventPosition.Next;
    if (!ORDERED_ID.test(last)) return EventPosition.Unordered;
    const difference = Number(id) - Number(last);
    if (difference <= 0) return EventPosition.Earlier;
    return this.#step === undefined || difference === this.#step
      ? EventPosition.Next
      : EventPosition.AfterGap;
  }

  /** Records an event that is relayed to the caller. */
  record(id: string | undefined): void {
    const last = this.#lastId;
    if (id === undefined || !ORDERED_ID.test(id)) this.#hasUnordered = true;
    else if (last === undefined) this.#step = Number(id) <= MAX_FIRST_COUNT ? 1 : undefined;
    else this.#recordStep(Number(id) - Number(last));
    this.#lastId = id ?? last;
  }

  #recordStep(step: number): void {
    if (this.#step !== undefined && this.#step !== step) this.#isStepVarying = true;
    this.#step = this.#isStepVarying ? undefined : step;
  }
}
