/** State of one slice, replayed from its records in the log. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type {
  KeptTurn,
  ProgramSpending,
  SliceRecord,
  TurnPiece,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  KeptTurnSchema,
  ProgramSpendingSchema,
  RunningTurnSchema,
  TurnPieceSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { KeptTurnMap } from "./kept_turn_map.ts";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { FORMER_UNRECORDED_PERCENT, SpendingLedger } from "./spending_ledger.ts";

/** Maximum content size of one record: leaves space for its other fields within the store's 256 KiB limit. */
const MAX_PIECE_BYTES = 200_000;

/** Payload of a slice record. */
export type SliceEvent = Exclude<SliceRecord["event"], { case: undefined }>;

/** Budgets and kept turns of a slice, and its newest ownership. */
export class SliceState {
  readonly ledger = new SpendingLedger();
  readonly turns = new KeptTurnMap();
  readonly #pieces = new Map<string, Uint8Array[]>();
  #writer: bigint | undefined;
  #isReleased = true;
  #holder = "";
  #unrecordedPercent = FORMER_UNRECORDED_PERCENT;
  #unreadableCount = 0;

  /** Id of the newest ownership; undefined before the first. */
  get writer(): bigint | undefined {
    return this.#writer;
  }

  /** Peer address of the newest owner; empty before the first. */
  get holder(): string {
    return this.#holder;
  }

  /** What the newest owner's claim states of its grants without a record, see {@link SpendingLedger.markUnclean}. */
  get unrecordedPercent(): number {
    return this.#unrecordedPercent;
  }

  /** Whether the newest ownership ended with a release, after recording everything it granted. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Number of records that could not be read. */
  get unreadableCount(): number {
    return this.#unreadableCount;
  }

  /**
   * Notes that a record could not be read. It may have been anything but a claim that others have written after, so the
   * newest ownership counts as ended without a release, and reservations as spent.
   */
  applyUnreadable(): void {
    this.#unreadableCount += 1;
    this.#isReleased = false;
  }

  /** Applies a record; records must be applied in log order. */
  apply({ writer, event }: SliceRecord): void {
    switch (event.case) {
      case "claim":
        this.#writer = writer;
        this.#isReleased = false;
        this.#holder = event.value.address;
        this.#unrecordedPercent = event.value.unrecordedPercent ?? FORMER_UNRECORDED_PERCENT;
        this.ledger.markUnclean(
          event.value.uncleanAtMs,
          event.value.uncleanPercent ?? FORMER_UNRECORDED_PERCENT,
        );
        break;
      case "release":
        this.#isReleased = true;
        break;
      case "spending":
        this.ledger.restore(event.value);
        break;
      case "turn":
        this.turns.put(event.value);
        break;
      case "piece":
        this.#applyPiece(event.value);
        break;
    }
  }

  #applyPiece({ turnId, index, count, data }: TurnPiece): void {
    // Pieces can span several appends, and the ownership may have ended between them: piece 0 starts over.
    // The store deletes its oldest records without regard to which belong together.
    const pieces = index === 0 ? [] : this.#pieces.get(turnId) ?? [];
    if (index !== pieces.length) return;
    pieces.push(data);
    this.#pieces.set(turnId, pieces);
    if (index < count - 1) return;
    this.#pieces.delete(turnId);
    const turn = decodeTurn(Buffer.concat(pieces));
    if (turn === undefined) this.applyUnreadable();
    else this.turns.put(turn);
  }
}

function decodeTurn(bytes: Uint8Array): KeptTurn | undefined {
  try {
    return fromBinary(KeptTurnSchema, bytes);
  } catch {
    return undefined;
  }
}

/** Encodes a turn as events, split into pieces if it exceeds the size limit of a record. */
export function toTurnEvents(turn: KeptTurn): SliceEvent[] {
  if (turn.content.length <= MAX_PIECE_BYTES) return [{ case: "turn", value: turn }];
  const bytes = toBinary(KeptTurnSchema, turn);
  const count = Math.ceil(bytes.length / MAX_PIECE_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const data = bytes.subarray(index * MAX_PIECE_BYTES, (index + 1) * MAX_PIECE_BYTES);
    return { case: "piece", value: create(TurnPieceSchema, { turnId: turn.turnId, index, count, data }) };
  });
}

/** Encodes spending records as events for the log. */
export function toSpendingEvents(records: readonly ISpendingRecord[]): SliceEvent[] {
  return toSpendingMessages(records).map((value) => ({ case: "spending", value }));
}

/** Encodes spending records as protocol buffer messages. */
export function toSpendingMessages(records: readonly ISpendingRecord[]): ProgramSpending[] {
  return records.map(({ running, ...record }) => {
    const turns = running.map((turn) => create(RunningTurnSchema, turn));
    return create(ProgramSpendingSchema, { ...record, running: turns });
  });
}
