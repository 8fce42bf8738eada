/** In-memory fake of the partitioned log whose pages are limited in size, take time, fail or are empty. */
import { Effect } from "effect";
import type {
  IPartition,
  IPartitionPage,
  IPartitionReadOptions,
  IPartitionRecord,
} from "../../src/services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";
import { PartitionedLogCore } from "./partitioned_log_core.ts";

/** Size of the length field of a record. */
const LENGTH_BYTES = 4;

export class SlowReadLog extends PartitionedLogCore {
  /** Maximum size of a page; a page has at least one record unless the limit is strict. */
  pageBytes = 1024 * 1024;
  /** Whether a page is empty if its first record, with its length field, is larger than the reader asks for. */
  isStrict = false;
  bytesPerMs = Infinity;
  /** Time limit of a read. */
  timeoutMs = Infinity;
  /** Number of reads so far. */
  reads = 0;
  isReadFailing: (read: number) => boolean = () => false;
  isReadEmpty: (read: number) => boolean = () => false;

  override read(
    partition: IPartition,
    opts: IPartitionReadOptions,
  ): Effect.Effect<IPartitionPage, StoreError> {
    const all = super.read(partition, opts);
    return Effect.gen({ self: this }, function* () {
      const read = this.reads++;
      const { records, end } = yield* all;
      const isTooLarge = records.length > 0 &&
        records[0].data.length + LENGTH_BYTES > (opts.maxBytes ?? Infinity);
      if (this.isReadEmpty(read) || (this.isStrict && isTooLarge)) return { records: [], end };
      const page = takePage(records, Math.min(this.pageBytes, opts.maxBytes ?? Infinity));
      const bytes = page.reduce((sum, { data }) => sum + data.length, 0);
      const tookMs = bytes / this.bytesPerMs;
      if (tookMs > 0) yield* Effect.sleep(Math.min(tookMs, this.timeoutMs));
      if (tookMs > this.timeoutMs || this.isReadFailing(read)) {
        return yield* Effect.fail(new StoreError(StoreFault.NoResponse, "no answer"));
      }
      return { records: page, end };
    });
  }
}

function takePage(records: readonly IPartitionRecord[], maxBytes: number): IPartitionRecord[] {
  let bytes = 0;
  const end = records.findIndex(({ data }, index) => {
    bytes += data.length;
    return index > 0 && bytes > maxBytes;
  });
  return records.slice(0, end < 0 ? records.length : end);
}
