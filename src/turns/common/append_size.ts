/** How events are split into appends that the store takes. */
import type { SliceEvent } from "./slice_state.ts";

/** Largest append, in bytes: below the store's bound for a call. */
export const MAX_APPEND_BYTES = 1_500_000;

/** Approximate size of an event in the log, in bytes. */
export function sizeOf(event: SliceEvent): number {
  const overhead = 100;
  if (event.case === "turn") return event.value.content.length + overhead;
  return event.case === "piece" ? event.value.data.length + overhead : overhead;
}

/** Splits events into appends of a size that the store takes. */
export function chunked(events: readonly SliceEvent[]): SliceEvent[][] {
  const chunks: SliceEvent[][] = [[]];
  let bytes = 0;
  for (const event of events) {
    bytes += sizeOf(event);
    if (bytes > MAX_APPEND_BYTES) {
      chunks.push([]);
      bytes = sizeOf(event);
    }
    chunks[chunks.length - 1].push(event);
  }
  return chunks;
}
