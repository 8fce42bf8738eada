/**
 * Buffer of segments that are never moved while it grows: its memory stays close to its length, and small pieces do not retain
 * the buffers that they arrived in.
 */

const FIRST_SEGMENT_BYTES = 1024;
const MAX_SEGMENT_BYTES = 64 * 1024;
/** Free segments of the largest size that are kept. */
const MAX_FREE_SEGMENTS = 256;

/** Segments are used again: as garbage they would take memory until the collector runs, which it does not do for their sake. */
const freeSegments: Uint8Array[] = [];

export class SegmentBuffer {
  #segments: Uint8Array[] = [];
  /** Bytes that are used in the last segment. */
  #used = 0;
  #length = 0;
  #capacity = 0;

  get length(): number {
    return this.#length;
  }

  /** Memory that is allocated, in bytes. */
  get capacity(): number {
    return this.#capacity;
  }

  append(bytes: Uint8Array): void {
    for (let at = 0; at < bytes.length;) {
      const last = this.#segments.at(-1);
      if (last === undefined || this.#used === last.length) {
        this.#addSegment(bytes.length - at);
        continue;
      }
      const piece = bytes.subarray(at, at + last.length - this.#used);
      last.set(piece, this.#used);
      this.#used += piece.length;
      this.#length += piece.length;
      at += piece.length;
    }
  }

  /** Returns the bytes in one piece and empties the buffer. */
  take(): Uint8Array {
    if (this.#segments.length <= 1) {
      const [only = new Uint8Array()] = this.#segments;
      const bytes = only.subarray(0, this.#length);
      this.#reset();
      return bytes;
    }
    const bytes = new Uint8Array(this.#length);
    let at = 0;
    for (const segment of this.#segments) {
      const rest = segment.subarray(0, this.#length - at);
      bytes.set(rest, at);
      at += rest.length;
    }
    this.clear();
    return bytes;
  }

  /** Discards the bytes. */
  clear(): void {
    for (const segment of this.#segments) {
      if (segment.length === MAX_SEGMENT_BYTES && freeSegments.length < MAX_FREE_SEGMENTS) {
        freeSegments.push(segment);
      }
    }
    this.#reset();
  }

  #reset(): void {
    this.#segments = [];
    this.#used = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #addSegment(neededBytes: number): void {
    const bytes = Math.min(MAX_SEGMENT_BYTES, Math.max(FIRST_SEGMENT_BYTES, this.#capacity, neededBytes));
    const free = bytes === MAX_SEGMENT_BYTES ? freeSegments.pop() : undefined;
    this.#segments.push(free ?? new Uint8Array(bytes));
    this.#used = 0;
    this.#capacity += bytes;
  }
}
