/** What a request waited for at the owners of its slices. */
import { SliceStatus } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";

/** Step of a turn that needs the owner of a slice. */
export enum OwnerStep {
  /** Obtaining the grant from the program's budget. */
  Grant = "grant",
  /** Loading a previous turn. */
  History = "history",
  /** Storing the turn. */
  Store = "store",
  /** Reporting the end of the turn. */
  End = "end",
}

/** State of a slice at its owner, as known to another instance. */
export enum OwnerStatus {
  Open = "open",
  /** The owner is reading the slice's records. */
  Opening = "opening",
  /** The instance does not own the slice, or is releasing it. */
  NotOwned = "not-owned",
  /** No owner is known. */
  Unknown = "unknown",
  /** The owner did not respond in time, or its connection failed. */
  Unresponsive = "unresponsive",
}

/** Waiting for the owner of one slice. */
export interface IOwnerWait {
  readonly step: OwnerStep;
  readonly slice: number;
  /** Peer address of the owner that was called last; empty if none is known. */
  readonly owner: string;
  readonly status: OwnerStatus;
  /** Number of calls. */
  readonly tries: number;
  readonly waitMs: number;
  /** Whether the owner served the request in the end. */
  readonly isServed: boolean;
  /** Error of the last call that failed. */
  readonly error?: string | undefined;
}

/** Shortest wait that is logged although the first call was served. */
const LOGGED_WAIT_MS = 100;

/** The longest wait of each step of one request. */
export class OwnerWaits {
  readonly #longest = new Map<OwnerStep, IOwnerWait>();

  record(wait: IOwnerWait): void {
    const { step, tries, waitMs, isServed } = wait;
    if (isServed && tries === 1 && waitMs < LOGGED_WAIT_MS) return;
    const known = this.#longest.get(step);
    // A wait that failed explains a refusal better than a longer one that did not.
    const isMoreRelevant = known === undefined || (known.isServed && !isServed) ||
      (known.isServed === isServed && known.waitMs < waitMs);
    if (isMoreRelevant) this.#longest.set(step, wait);
  }

  /** Undefined if no step had to wait. */
  toLogField(): readonly IOwnerWait[] | undefined {
    return this.#longest.size === 0 ? undefined : [...this.#longest.values()];
  }
}

/** Translates what a receiver says of a slice that it does not serve. */
export function toOwnerStatus(status: SliceStatus | undefined): OwnerStatus {
  return status === SliceStatus.OPENING ? OwnerStatus.Opening : OwnerStatus.NotOwned;
}
