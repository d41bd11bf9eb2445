//! Lists of all objects of a kind, read page by page.

use log::warn;
use yuccatrail_core::revision::Revision;

use crate::{CallKind, Client, ListPage, PlatformError, PollProtocol};

/// Objects of a kind, as far as their pages could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// The objects.
    pub items: Vec<T>,
    /// Revision of the store when the first page was read.
    pub revision: Revision,
    /// Why a later page could not be read; objects that are not contained may exist then.
    pub failure: Option<PlatformError>,
}

impl Client {
    /// Reads all objects of a kind, up to the first page that can't be read.
    ///
    /// # Errors
    ///
    /// Returns an error if not even the first page could be read, or if the platform was restored
    /// between two pages.
    pub async fn list_pages<T>(
        &self,
        protocol: &PollProtocol<T>,
    ) -> Result<Listing<T>, PlatformError> {
        let (first, era) = self.read_page(protocol, None).await?;
        let mut listing = Listing {
            items: first.items,
            // Polling from the revision of the first page also delivers changes made between pages.
            revision: Revision::new(era, first.revision_number),
            failure: None,
        };
        let mut after = first.next;
        while let Some(name) = after {
            let (page, era) = match self.read_page(protocol, Some(&name)).await {
                Ok(read) => read,
                Err(error @ PlatformError::Restored { .. }) => return Err(error),
                Err(error) => {
                    warn!(kind = protocol.kind, after = name, error:% = error; "page of a list can't be read");
                    listing.failure = Some(error);
                    break;
                }
            };
            if listing.revision.era != era {
                return Err(PlatformError::Restored { object: protocol.kind.to_owned() });
            }
            listing.items.extend(page.items);
            after = page.next;
        }
        Ok(listing)
    }

    /// Reads the page that begins after the name `after`, or the first page; returns it with its era.
    async fn read_page<T>(
        &self,
        protocol: &PollProtocol<T>,
        after: Option<&str>,
    ) -> Result<(ListPage<T>, u64), PlatformError> {
        let path = (protocol.list_path)(protocol.kind, after);
        let reply = self.read(CallKind::Read, protocol.kind, &path, 0).await?;
        let invalid = |detail| PlatformError::Invalid { object: protocol.kind.to_owned(), detail };
        let page = (protocol.decode_list)(&reply.body).map_err(invalid)?;
        if page.unnamed > 0 {
            warn!(kind = protocol.kind, objects = page.unnamed; "objects of a list have no readable name");
        }
        // Reading on would return the same page without end.
        if page.next.is_some() && page.next.as_deref() == after {
            return Err(invalid("the page does not go on".to_owned()));
        }
        Ok((page, reply.era))
    }
}
