/** Tells whether a server may have received a request. */

/** One send of a request. Unless the sender says otherwise, the server may have received the request. */
export interface IDelivery {
  /** Whether a server may have received the request in this send. */
  readonly mayHaveArrived: boolean;
  /** Records that nothing of the request has reached a server: a connection is being established, or has failed. */
  awaitConnection(): void;
  /** Called before the first byte is sent. Returns false if the request has been withdrawn and must not be sent. */
  begin(): boolean;
  /** Prevents the request from being sent. Returns false if a server may already have received it. */
  tryWithdraw(): boolean;
}

class Delivery implements IDelivery {
  #mayHaveArrived = true;
  #isWithdrawn = false;

  get mayHaveArrived(): boolean {
    return this.#mayHaveArrived;
  }

  awaitConnection(): void {
    this.#mayHaveArrived = false;
  }

  begin(): boolean {
    this.#mayHaveArrived = !this.#isWithdrawn;
    return this.#mayHaveArrived;
  }

  tryWithdraw(): boolean {
    this.#isWithdrawn = !this.#mayHaveArrived;
    return this.#isWithdrawn;
  }
}

/** The sends of a request whose outcomes are not known yet. */
export class Deliveries {
  readonly #pending = new Set<IDelivery>();
  #isWithdrawn = false;

  start(): IDelivery {
    const delivery = new Delivery();
    if (this.#isWithdrawn) {
      delivery.awaitConnection();
      delivery.tryWithdraw();
    }
    this.#pending.add(delivery);
    return delivery;
  }

  /** Records that the outcomes of all sends so far are known. */
  settle(): void {
    this.#pending.clear();
  }

  /** Prevents the request from being sent in any of them, and later. Returns false if a server may already have received it. */
  tryWithdraw(): boolean {
    if ([...this.#pending].some(({ mayHaveArrived }) => mayHaveArrived)) return false;
    this.#isWithdrawn = true;
    for (const delivery of this.#pending) delivery.tryWithdraw();
    return true;
  }
}
