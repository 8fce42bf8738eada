/** Status codes of HTTP. */

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Whether a status is that of an answer: neither informational nor outside the classes of the protocol. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}
