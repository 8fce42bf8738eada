/** Placement orders in progress. All instances accept the same orders, since they do so in journal order. */
import type { OrderFinished, OrderIssued } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { OrderAction } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";

/** Time after which an unfinished order no longer blocks other orders, in ms. */
export const ORDER_EXPIRY_MS = 60_000;

/** An order with its fencing token. */
export interface IIssuedOrder {
  readonly order: OrderIssued;
  readonly fencingToken: number;
}

export class OrderTable {
  readonly #activeOrders = new Map<string, IIssuedOrder>();

  /** The order that a backend server is executing. */
  activeOrder(backendId: string): IIssuedOrder | undefined {
    return this.#activeOrders.get(backendId);
  }

  /**
   * Accepts an order unless its backend server has an unfinished one, or the number of models that are being
   * loaded from the weight store has reached the order's `loadsAtOnce`.
   */
  issue(order: OrderIssued, fencingToken: number): boolean {
    const isExpired = (issued: IIssuedOrder) => order.issuedAtMs - issued.order.issuedAtMs > ORDER_EXPIRY_MS;
    const current = this.#activeOrders.get(order.backendId);
    if (current !== undefined && !isExpired(current)) return false;
    const loads = [...this.#activeOrders.values()].filter((issued) => isLoad(issued) && !isExpired(issued));
    const exceedsLoadLimit = order.action === OrderAction.LOAD_MODEL && loads.length >= order.loadsAtOnce;
    if (exceedsLoadLimit) return false;
    this.#activeOrders.set(order.backendId, { order, fencingToken });
    return true;
  }

  /** Removes an order that has ended, unless a newer one with another fencing token has replaced it. */
  finish({ backendId, fencingToken }: OrderFinished): boolean {
    if (this.#activeOrders.get(backendId)?.fencingToken !== fencingToken) return false;
    return this.#activeOrders.delete(backendId);
  }
}

function isLoad({ order }: IIssuedOrder): boolean {
  return order.action === OrderAction.LOAD_MODEL;
}
