/** The model or service that a request is for. */
export type RequestTarget =
  | { readonly kind: 'model'; readonly model: string; readonly adapter: string | undefined }
  | { readonly kind: 'service'; readonly service: string; readonly method: string };
