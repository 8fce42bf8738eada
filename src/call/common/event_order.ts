/** Follows the ids of a stream's events, so that parts of it from several servers join without gaps or repetitions. */

const DECIMAL_ID = /^\d+$/;
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

  /** `lastId` is the last event that the caller has received of the stream that it resumes; empty if it has received none. */
  constructor(lastId?: string) {
    this.#lastId = lastId === "" ? undefined : lastId;
  }

  /** Id of the last event that the caller has received; undefined if none of them had an id. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Whether another server can be told where to go on. */
  get canResume(): boolean {
    return toNumber(this.#lastId) !== undefined && !this.#hasUnordered;
  }

  positionOf(id: string | undefined): EventPosition {
    const number = toNumber(id);
    if (number === undefined) return EventPosition.Unordered;
    if (this.#lastId === undefined) return EventPosition.Next;
    const last = toNumber(this.#lastId);
    if (last === undefined) return EventPosition.Unordered;
    const difference = number - last;
    if (difference <= 0) return EventPosition.Earlier;
    return this.#step === undefined || difference === this.#step
      ? EventPosition.Next
      : EventPosition.AfterGap;
  }

  /** Records an event that is relayed to the caller. */
  record(id: string | undefined): void {
    const [last, number] = [toNumber(this.#lastId), toNumber(id)];
    if (number === undefined) this.#hasUnordered = true;
    else if (last === undefined) this.#step = number <= MAX_FIRST_COUNT ? 1 : undefined;
    else this.#recordStep(number - last);
    this.#lastId = id ?? this.#lastId;
  }

  #recordStep(step: number): void {
    if (this.#step !== undefined && this.#step !== step) this.#isStepVarying = true;
    this.#step = this.#isStepVarying ? undefined : step;
  }
}

/** Returns the number that an id states; undefined if it states none that can be compared without loss of precision. */
function toNumber(id: string | undefined): number | undefined {
  if (id === undefined || !DECIMAL_ID.test(id)) return undefined;
  const number = Number(id);
  return Number.isSafeInteger(number) ? number : undefined;
}
