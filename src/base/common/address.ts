/** Network addresses of the form `host:port`. */

/** Host of an address. */
export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}
