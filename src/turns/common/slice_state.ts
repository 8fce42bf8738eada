/** State of one slice, as its records in the log tell. */
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
import { KeptTurns } from "./kept_turns.ts";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { SpendingLedger } from "./spending_ledger.ts";

/** Largest content in one record, in bytes: leaves room for the fields beside it in the store's 256 KiB. */
const MAX_PIECE_BYTES = 200_000;

/** What a record says. */
export type SliceEvent = Exclude<SliceRecord["event"], { case: undefined }>;

export class SliceState {
  readonly ledger = new SpendingLedger();
  readonly turns = new KeptTurns();
  readonly #pieces = new Map<string, Uint8Array[]>();
  #writer: bigint | undefined;
  #isReleased = true;
  #holder = "";

  /** Identity of the newest ownership; undefined before the first. */
  get writer(): bigint | undefined {
    return this.#writer;
  }

  /** Where peers reach the newest owner; empty before the first. */
  get holder(): string {
    return this.#holder;
  }

  /** Whether the newest ownership recorded all that it granted before it ended. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Takes up a record in the order of the log. */
  apply({ writer, event }: SliceRecord): void {
    switch (event.case) {
      case "claim":
        this.#writer = writer;
        this.#isReleased = false;
        this.#holder = event.value.address;
        this.ledger.markUnclean(event.value.uncleanAtMs);
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
    const pieces = index === 0 ? [] : this.#pieces.get(turnId) ?? [];
    pieces[index] = data;
    this.#pieces.set(turnId, pieces);
    if (index < count - 1) return;
    this.#pieces.delete(turnId);
    this.turns.put(fromBinary(KeptTurnSchema, Buffer.concat(pieces)));
  }
}

/** A turn as records, in pieces where one record cannot hold it. */
export function turnEvents(turn: KeptTurn): SliceEvent[] {
  if (turn.content.length <= MAX_PIECE_BYTES) return [{ case: "turn", value: turn }];
  const bytes = toBinary(KeptTurnSchema, turn);
  const count = Math.ceil(bytes.length / MAX_PIECE_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const data = bytes.subarray(index * MAX_PIECE_BYTES, (index + 1) * MAX_PIECE_BYTES);
    return { case: "piece", value: create(TurnPieceSchema, { turnId: turn.turnId, index, count, data }) };
  });
}

export function spendingEvents(records: readonly ISpendingRecord[]): SliceEvent[] {
  return spendingMessages(records).map((value) => ({ case: "spending", value }));
}

export function spendingMessages(records: readonly ISpendingRecord[]): ProgramSpending[] {
  return records.map(({ running, ...record }) => {
    const turns = running.map((turn) => create(RunningTurnSchema, turn));
    return create(ProgramSpendingSchema, { ...record, running: turns });
  });
}
