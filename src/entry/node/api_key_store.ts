/** API keys of customers and operators, loaded from files. Keys are stored as SHA-256 digests and never logged. */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import VError from "verror";

export class KeyFileError extends VError {
  readonly _tag = "KeyFileError";

  constructor(path: string, detail: string, cause?: Error) {
    super({ name: "KeyFileError", cause }, "%s: %s", path, detail);
  }
}

/** Maps the digest of each API key to the name of the customer or operator that holds it. */
export class ApiKeyStore {
  readonly #principals = new Map<string, string>();

  /** Reads a file with one `name key` pair per line. Empty lines and lines that start with `#` are ignored. */
  static fromFile(path: string): ApiKeyStore {
    const store = new ApiKeyStore();
    const lines = readKeyFile(path).split("\n");
    lines.forEach((line, index) => {
      const text = line.trim();
      if (text === "" || text.startsWith("#")) return;
      const parts = text.split(/\s+/);
      if (parts.length !== 2) {
        throw new KeyFileError(path, `line ${index + 1} must consist of a name and a key`);
      }
      store.#principals.set(digest(parts[1]), parts[0]);
    });
    return store;
  }

  /** Name of the key's holder for an `Authorization` header, or undefined if the key is missing or unknown. */
  principalOf(authorization: string | undefined): string | undefined {
    const key = /^Bearer (\S+)$/.exec(authorization ?? "")?.[1];
    return key === undefined ? undefined : this.#principals.get(digest(key));
  }
}

function readKeyFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    throw new KeyFileError(path, "cannot be read", err as Error);
  }
}

function digest(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
