/** What belongs to an organisation, so that organisations share neither budgets nor streams nor history. */
import type { IOrganisation } from "./organisation.ts";

/** In neither the names of organisations nor the header values of callers, so that callers cannot forge scoped ids. */
const SEPARATOR = "\u0000";

/**
 * Combines an id that a caller states with the name of its organisation. Returns the id itself if the caller has no
 * organisation.
 */
export function scopedId(id: string, organisation: string | undefined): string {
  return organisation === undefined || organisation === "" ? id : `${organisation}${SEPARATOR}${id}`;
}

/**
 * Whether a caller may continue what an organisation has stored. Both are names of organisations, empty for callers
 * without one. They are undefined for records from before organisations were configured, which belong to no one, and for
 * callers while none are configured.
 */
export function mayContinue(owner: string | undefined, caller: string | undefined): boolean {
  return owner === undefined || caller === undefined || owner === caller;
}

/** The organisation's priority comes first; the route's decides between requests of the same priority. */
export function combinedPriority(
  organisation: IOrganisation | undefined,
  { priority }: { readonly priority: number },
): number {
  if (organisation?.priority === undefined) return priority;
  // Below the next priority of an organisation, however low the route's is.
  return organisation.priority + priority / (priority + 1);
}
