/** Opens a server's address. */
import type { Server } from "node:net";

export interface IListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Resolves once the server listens; fails if the address cannot be had. */
export function listen(server: Server, { host, port }: IListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}
