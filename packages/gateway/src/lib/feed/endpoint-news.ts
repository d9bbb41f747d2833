/** What changed, for the log. */
export interface EndpointNews {
  readonly id: string;
  readonly what: 'joined' | 'left' | 'draining' | 'doubted';
  readonly service: string;
}
