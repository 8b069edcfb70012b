import { formatEndpoint } from "./endpoint.js";
import type { AddressTranslation } from "./types.js";

/** Maps the address of a peer to the address to connect to; both are `host:port`. */
export type AddressTranslator = (address: string) => string;

/** Returns a translator that applies the given translations and leaves all other addresses unchanged. */
export const translatorOf = (translations: readonly AddressTranslation[]): AddressTranslator => {
    const reached = new Map(translations.map(({ from, to }) => [formatEndpoint(from), formatEndpoint(to)]));
    return address => reached.get(address) ?? address;
};
