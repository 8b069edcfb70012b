import { formatEndpoint } from "./endpoint.js";
import type { AddressTranslation } from "./types.js";

/** Maps the address of a peer to the address to connect to; both are `host:port`. */
export type AddressTranslator = (address: string) => string;

/** Returns a translator that applies the given translations and leaves all other addresses unchanged. */
export const createAddressTranslator = (translations: readonly AddressTranslation[]): AddressTranslator => {
    const targets = new Map(translations.map(({ from, to }) => [formatEndpoint(from), formatEndpoint(to)]));
    return address => targets.get(address) ?? address;
};
