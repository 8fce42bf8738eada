/** HTTP headers as alternating names and values. */

/** Hop-by-hop headers, and `Content-Length`, which is recomputed for each message. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "te",
  "trailer",
  "upgrade",
]);

/** Returns the value of the first header with a name in lower case; undefined if there is none. */
export function findHeader(raw: readonly string[], lowerCaseName: string): string | undefined {
  for (let i = 0; i < raw.length; i += 2) if (raw[i].toLowerCase() === lowerCaseName) return raw[i + 1];
  return undefined;
}

/** Encodes a text so that Node.js sends it in UTF-8. */
export function toHeaderValue(text: string): string {
  return Buffer.from(text, "utf8").toString("latin1");
}

/** Decodes a value that Node.js has received and whose sender encoded it in UTF-8. */
export function fromHeaderValue(value: string): string {
  return Buffer.from(value, "latin1").toString("utf8");
}

/** Removes the hop-by-hop headers and `Content-Length`. */
export function endToEndHeaders(raw: readonly string[]): string[] {
  const headers: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    if (!HOP_BY_HOP_HEADERS.has(raw[i].toLowerCase())) headers.push(raw[i], raw[i + 1]);
  }
  return headers;
}
