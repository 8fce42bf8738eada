/** Buffer that grows by doubling, so that appending costs the same per byte however small the pieces are. */

const INITIAL_CAPACITY = 1024;

export class ByteBuffer {
  #bytes: Uint8Array = new Uint8Array();
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** The bytes appended so far; valid until the next call. */
  view(): Uint8Array {
    return this.#bytes.subarray(0, this.#length);
  }

  append(bytes: Uint8Array): void {
    const length = this.#length + bytes.length;
    if (length > this.#bytes.length) {
      const grown = new Uint8Array(Math.max(INITIAL_CAPACITY, this.#bytes.length * 2, length));
      grown.set(this.view());
      this.#bytes = grown;
    }
    this.#bytes.set(bytes, this.#length);
    this.#length = length;
  }

  /** Returns the bytes and empties the buffer, which does not change them afterwards. */
  take(): Uint8Array {
    const bytes = this.view();
    this.#bytes = new Uint8Array();
    this.#length = 0;
    return bytes;
  }
}
