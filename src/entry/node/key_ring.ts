/** API keys of customers and operators, from files. Keys are kept as digests and never logged. */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import VError from "verror";

export class KeyFileError extends VError {
  readonly _tag = "KeyFileError";

  constructor(path: string, detail: string, cause?: Error) {
    super({ name: "KeyFileError", cause }, "%s: %s", path, detail);
  }
}

/** Holders of API keys by the digest of their key. */
export class KeyRing {
  readonly #holders = new Map<string, string>();

  /** Reads a file with a `name key` pair on each line; empty lines and lines from `#` on are passed over. */
  static fromFile(path: string): KeyRing {
    const ring = new KeyRing();
    const lines = readKeyFile(path).split("\n");
    lines.forEach((line, index) => {
      const text = line.trim();
      if (text === "" || text.startsWith("#")) return;
      const parts = text.split(/\s+/);
      if (parts.length !== 2) throw new KeyFileError(path, `line ${index + 1} is not a name and a key`);
      ring.#holders.set(digest(parts[1]), parts[0]);
    });
    return ring;
  }

  /** Name of the holder of the key in an `Authorization` header, or undefined. */
  holderOf(authorization: string | undefined): string | undefined {
    const key = /^Bearer (\S+)$/.exec(authorization ?? "")?.[1];
    return key === undefined ? undefined : this.#holders.get(digest(key));
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
