/** Host and port of a listener; port 0 selects any free port. */
export interface ListenAddress {
    host: string;
    port: number;
}
