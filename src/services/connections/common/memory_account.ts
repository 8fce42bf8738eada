/**
 * Accounts for the memory that a process keeps for its clients, and decides which of them gives way when it is used up.
 *
 * Answers clients that hold memory without getting anywhere: bodies that stop short of their end, requests sent ahead, answers
 * that nobody reads, and connections without a request. Refusing newcomers would let a crowd of them lock out everybody else.
 * Instead those give way that hold most for longest, counted since the client's last complete request, however slowly it goes on
 * sending. Requests that are being served give way last, since their outcome is unknown then.
 */

/** Memory of a holder that is not charged, so that short requests are served while the account is full. */
export const UNCHARGED_BYTES = 16 * 1024;
/** Least age, in ms, that counts for the order: it leaves the size to decide among holders that came at the same time. */
const MIN_AGE_MS = 100;

/** Why a holder gives way. */
export enum ReleaseCause {
  /** The memory for all clients is used up. */
  Memory = "memory",
  /** There are too many connections. */
  Connections = "connections",
  /** Reading its body in tiny pieces takes too much processor time. */
  Work = "work",
}

export interface IMemoryAccountOptions {
  /** Memory for all holders, in bytes, beyond {@link UNCHARGED_BYTES} of each. */
  readonly maxBytes: number;
  /** Time in ms. */
  readonly now: () => number;
}

/** A holder that has given way. */
export interface IRelease {
  readonly cause: ReleaseCause;
  /** What it held, and the time since its last complete request in ms. */
  readonly bytes: number;
  readonly ageMs: number;
}

export interface IHolderOptions {
  /** Holders of one group, such as the clients of one address, share a limit on their number. */
  readonly group: HolderGroup;
  /** Called when the holder has given way. */
  readonly onDidRelease: (release: IRelease) => void;
}

/** Holders of which there may be only so many. */
export class HolderGroup {
  readonly maxHolders: number;
  readonly holders = new Set<MemoryHolder>();

  constructor(maxHolders: number) {
    this.maxHolders = maxHolders;
  }
}

export class MemoryAccount {
  readonly #opts: IMemoryAccountOptions;
  readonly #holders = new Set<MemoryHolder>();
  #usedBytes = 0;

  constructor(opts: IMemoryAccountOptions) {
    this.#opts = opts;
  }

  /** Memory that is charged, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  get maxBytes(): number {
    return this.#opts.maxBytes;
  }

  /** Adds a holder. If its group is full, the holder in it that ranks highest gives way, which may be the new one. */
  open({ group, onDidRelease }: IHolderOptions): MemoryHolder {
    const holder = new MemoryHolder(this, { group, onDidRelease, now: this.#opts.now });
    this.#holders.add(holder);
    group.holders.add(holder);
    if (group.holders.size > group.maxHolders) this.releaseOne(group.holders, ReleaseCause.Connections);
    return holder;
  }

  /** Changes what is charged; has holders give way while that exceeds the account. */
  charge(growthBytes: number): void {
    this.#usedBytes += growthBytes;
    while (growthBytes > 0 && this.#usedBytes > this.#opts.maxBytes) {
      if (!this.releaseOne(this.#chargedHolders(), ReleaseCause.Memory)) return;
    }
  }

  remove(holder: MemoryHolder): void {
    this.#holders.delete(holder);
  }

  *#chargedHolders(): Iterable<MemoryHolder> {
    for (const holder of this.#holders) if (holder.chargedBytes > 0) yield holder;
  }

  /** Has the highest ranking of some holders give way. Returns false if there is none. */
  releaseOne(holders: Iterable<MemoryHolder>, cause: ReleaseCause): boolean {
    let worst: MemoryHolder | undefined;
    for (const holder of holders) {
      if (worst === undefined || holder.ranksAbove(worst)) worst = holder;
    }
    worst?.release(cause);
    return worst !== undefined;
  }
}

interface IMemoryHolderOptions extends IHolderOptions {
  readonly now: () => number;
}

/** What one client holds. */
export class MemoryHolder {
  readonly #account: MemoryAccount;
  readonly #opts: IMemoryHolderOptions;
  #bytes = 0;
  #sinceMs: number;
  #isOpen = true;
  /** Whether a request of the client is being served. */
  isBusy = false;

  constructor(account: MemoryAccount, opts: IMemoryHolderOptions) {
    this.#account = account;
    this.#opts = opts;
    this.#sinceMs = opts.now();
  }

  /** Whether the holder has neither given way nor been closed. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get chargedBytes(): number {
    return Math.max(0, this.#bytes - UNCHARGED_BYTES);
  }

  /** Time since the client's last complete request, or since it came, in ms. */
  get ageMs(): number {
    return this.#opts.now() - this.#sinceMs;
  }

  /** Sets how many bytes are held. Has holders give way if the account is used up, which may be this one. */
  resize(bytes: number): void {
    if (!this.#isOpen) return;
    const chargedBytes = this.chargedBytes;
    this.#bytes = bytes;
    this.#account.charge(this.chargedBytes - chargedBytes);
  }

  /** Records that a request of the client has been completed. */
  renew(): void {
    this.#sinceMs = this.#opts.now();
  }

  ranksAbove(other: MemoryHolder): boolean {
    if (this.isBusy !== other.isBusy) return other.isBusy;
    return this.#weight > other.#weight;
  }

  release(cause: ReleaseCause): void {
    if (!this.#isOpen) return;
    const { bytes, ageMs } = this;
    this.close();
    this.#opts.onDidRelease({ cause, bytes, ageMs });
  }

  /** Returns everything to the account. */
  close(): void {
    if (!this.#isOpen) return;
    this.resize(0);
    this.#isOpen = false;
    this.#account.remove(this);
    this.#opts.group.holders.delete(this);
  }

  /** Byte milliseconds; a connection holds some memory even without a request. */
  get #weight(): number {
    return (UNCHARGED_BYTES + this.#bytes) * Math.max(MIN_AGE_MS, this.ageMs);
  }
}
