/** Starts a server on an address. */
import type { Server } from "node:net";

export interface IListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Resolves when the server listens; rejects if it cannot bind the address. */
export function listen(server: Server, { host, port }: IListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}
