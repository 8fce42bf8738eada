/** Organisations, the parties that hold API keys and allotments, as the configuration states them. */

/** Number of requests that the backend servers run for an organisation, over all instances together. */
export interface IAllotment {
  /** Requests per second; greater than 0. */
  readonly perSecond: number;
  /** Number of requests beyond the rate that may follow a pause; 0 or more. */
  readonly burst: number;
}

export interface IOrganisation {
  readonly name: string;
  /** SHA-256 digests of the API keys, in lower-case hexadecimal. The keys themselves are not kept. */
  readonly keyDigests: readonly string[];
  /** Rank that takes precedence over the route's; 0 is the highest. Undefined if the configuration states none. */
  readonly priority: number | undefined;
  /** Undefined without a limit. */
  readonly allotment: IAllotment | undefined;
}
