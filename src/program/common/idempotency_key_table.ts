/** Idempotency keys of non-repeatable calls. The first valid intent in journal order acquires the key. */
import { create } from "@bufbuild/protobuf";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type {
  IntentCancelled,
  IntentRecorded,
  KeySnapshot,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { KeySnapshotSchema, KeyState } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";

/** State of one key, as derived from the journal. */
export interface IIdempotencyKeyEntry {
  readonly key: string;
  readonly state: KeyState;
  readonly programId: string;
  readonly step: number;
  readonly fingerprint: bigint;
  /** The recorded turn once the outcome is known. */
  readonly turn: Turn | undefined;
  readonly recordedAtMs: number;
}

export class IdempotencyKeyTable {
  readonly #keys = new Map<string, IIdempotencyKeyEntry>();

  get(key: string): IIdempotencyKeyEntry | undefined {
    return this.#keys.get(key);
  }

  get all(): Iterable<IIdempotencyKeyEntry> {
    return this.#keys.values();
  }

  get size(): number {
    return this.#keys.size;
  }

  /** Acquires the key for an intent. Returns false if another intent holds it. */
  claim(intent: IntentRecorded): boolean {
    if (this.#keys.has(intent.key)) return false;
    const { key, programId, step, fingerprint } = intent;
    this.#keys.set(key, {
      key,
      state: KeyState.INTENT,
      programId,
      step,
      fingerprint,
      turn: undefined,
      recordedAtMs: intent.atMs,
    });
    return true;
  }

  /** Releases the key of a call that did not run. */
  cancel({ key, programId, step }: IntentCancelled): boolean {
    const entry = this.#keys.get(key);
    if (entry?.state !== KeyState.INTENT || entry.programId !== programId || entry.step !== step) {
      return false;
    }
    return this.#keys.delete(key);
  }

  /** Records the outcome of the call that holds the key. */
  complete(programId: string, turn: Turn): void {
    const entry = this.#keys.get(turn.idempotencyKey);
    if (entry === undefined || entry.programId !== programId || entry.step !== turn.step) return;
    this.#keys.set(entry.key, { ...entry, state: KeyState.DONE, turn });
  }

  restore(snapshot: KeySnapshot): boolean {
    if (this.#keys.has(snapshot.key)) return false;
    const { key, state, programId, step, fingerprint, turn, recordedAtMs } = snapshot;
    this.#keys.set(key, { key, state, programId, step, fingerprint, turn, recordedAtMs });
    return true;
  }

  delete(key: string): void {
    this.#keys.delete(key);
  }
}

/** Makes the record that repeats a key, for readers that start after its first records. */
export function makeKeySnapshot(entry: IIdempotencyKeyEntry): KeySnapshot {
  return create(KeySnapshotSchema, { ...entry });
}
