import { messageOf, StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { AddressInfo, Server } from "node:net";
import type { ListenAddress } from "./listen-address.js";

/** Lets a server listen and returns the port. Fails with UNAVAILABLE. */
export const startListening = async (server: Server, { host, port }: ListenAddress): Promise<number> => {
    await new Promise<void>((resolve, reject) => {
        server.once(
            "error",
            error => reject(new StepError(ErrorCode.UNAVAILABLE, "listen", `${host}:${port}`, messageOf(error))),
        );
        server.listen(port, host, resolve);
    });
    return (server.address() as AddressInfo).port;
};
