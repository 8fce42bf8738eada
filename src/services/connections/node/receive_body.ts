/** Receives the body of a request into memory that is charged to its connection. */
import { Effect } from "effect";
import { SegmentBuffer } from "../../../base/common/segment_buffer.ts";
import type { ConnectionGuard, Exchange } from "./connection_guard.ts";

/** Pieces of a body below this size count as work, and how many of them are recorded at a time. */
const TINY_PIECE_BYTES = 32;
const TINY_PIECES = 1024;
/** Bytes that a client may send for each byte of a body, and beyond that, so that chunk extensions are bounded. */
const MAX_WIRE_BYTES_PER_BYTE = 8;
const WIRE_SLACK_BYTES = 128 * 1024;
/** Bytes that are read after a body has been refused, so that its sender can finish and see the response. */
const MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

/** Why a body has not been received. */
export enum BodyError {
  Truncated = "cut-off",
  TooLarge = "too-large",
  /** The connection has given way to others. */
  Released = "released",
}

export interface IReceiveOptions {
  readonly guard: ConnectionGuard;
  readonly maxBytes: number;
}

/** Succeeds with the whole body, or with the reason why it has not been received. Nothing of the body is kept then. */
export function receiveBody(
  exchange: Exchange,
  { guard, maxBytes }: IReceiveOptions,
): Effect.Effect<Uint8Array | BodyError> {
  return Effect.callback((resume) => {
    const { req, connection } = exchange;
    const buffer = new SegmentBuffer();
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    /** Body that has arrived in one piece. */
    let whole: Uint8Array | undefined;
    const startBytes = connection.bytesRead;
    let tinyPieces = 0;
    let isSettled = false;
    let discardedFrom = 0;
    const settle = (result: Uint8Array | BodyError) => {
      if (isSettled) return;
      isSettled = true;
      discardedFrom = connection.bytesRead;
      if (result === BodyError.TooLarge && !guard.tryDiscard(exchange)) connection.stopReading();
      exchange.onWillRelease = undefined;
      guard.endWork(exchange);
      buffer.clear();
      exchange.resizeBody(typeof result === "string" ? 0 : result.length);
      resume(Effect.succeed(result));
    };
    exchange.onWillRelease = () => settle(BodyError.Released);
    const receive = (piece: Uint8Array) => {
      if (isSettled) {
        if (connection.bytesRead - discardedFrom > MAX_DISCARDED_BYTES) connection.stopReading();
        return;
      }
      const { length, capacity } = buffer;
      const wireBytes = connection.bytesRead - startBytes;
      const isInflated = wireBytes > (length + piece.length) * MAX_WIRE_BYTES_PER_BYTE + WIRE_SLACK_BYTES;
      if (length + piece.length > maxBytes || isInflated) return settle(BodyError.TooLarge);
      if (piece.length === declaredBytes && piece.buffer.byteLength === piece.length) {
        whole = piece;
        return exchange.resizeBody(piece.length);
      }
      buffer.append(piece);
      if (buffer.capacity !== capacity) exchange.resizeBody(buffer.capacity);
      if (piece.length >= TINY_PIECE_BYTES) return;
      tinyPieces += 1;
      if (tinyPieces % TINY_PIECES === 0) guard.spendWork(TINY_PIECES, exchange);
    };
    req.on("data", receive);
    req.on("end", () => {
      if (!isSettled) settle(whole ?? buffer.take());
    });
    req.on("error", () => settle(BodyError.Truncated));
    req.on("close", () => settle(BodyError.Truncated));
    if (declaredBytes > maxBytes) settle(BodyError.TooLarge);
  });
}
