/** Organisations of the configuration in force, by the digests of their API keys. */
import type { IOrganisation } from "./organisation.ts";

/** Number of characters of a key digest that identify a key in logs. */
const DIGEST_PREFIX_LENGTH = 8;

/**
 * Finds the organisation of an API key in constant time. Expected load pattern: each request is looked up on arrival and
 * before each send, while the configuration changes rarely.
 */
export class OrganisationTable {
  #isConfigured = false;
  #byDigest = new Map<string, IOrganisation>();

  /** Whether the configuration has organisations, so that requests need an API key; also if it lists none. */
  get isConfigured(): boolean {
    return this.#isConfigured;
  }

  /** Replaces all organisations. Undefined if the deployment has none. */
  update(organisations: readonly IOrganisation[] | undefined): void {
    const byDigest = new Map<string, IOrganisation>();
    for (const organisation of organisations ?? []) {
      for (const digest of organisation.keyDigests) {
        // The first organisation keeps a key that several have, so that all instances agree.
        if (!byDigest.has(digest)) byDigest.set(digest, organisation);
      }
    }
    this.#byDigest = byDigest;
    this.#isConfigured = organisations !== undefined;
  }

  /** Returns undefined for a missing or unknown key. */
  find(keyDigest: string | undefined): IOrganisation | undefined {
    return keyDigest === undefined ? undefined : this.#byDigest.get(keyDigest);
  }
}

/** Start of a key digest, by which operators find a key. */
export function digestPrefixOf(keyDigest: string): string {
  return keyDigest.slice(0, DIGEST_PREFIX_LENGTH);
}
