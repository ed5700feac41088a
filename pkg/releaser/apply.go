package releaser

import (
	"maps"
	"strings"
)

// Empty returns the configuration before the first change.
func Empty() *Configuration {
	return &Configuration{
		Models:     map[string]Model{},
		Adapters:   map[string]Adapter{},
		Newest:     map[string]string{},
		Services:   map[string]Service{},
		Workspaces: map[string]Workspace{},
		Grants:     map[string]Grant{},
	}
}

// Apply returns the configuration after a change. It returns ErrConflict or
// ErrInvalid, and no configuration, if any part of the change cannot be
// accepted. The caller sets the change's Version from the result.
func Apply(current *Configuration, body Body) (*Configuration, error) {
	next := current.clone()
	if err := next.apply(body); err != nil {
		return nil, err
	}
	return next, nil
}

// apply applies a change to c, which must be a private copy. After an error c
// is unchanged.
func (c *Configuration) apply(body Body) error {
	switch body := body.(type) {
	case ApplyNote:
		if body.Note.Base != c.NoteVersion {
			return wrapf(ErrConflict, "note %q was written against note version %d; version %d is in force",
				body.Note.Name, body.Note.Base, c.NoteVersion)
		}
		if err := Validate(c, body.Note); err != nil {
			return err
		}
		c.NoteVersion = c.Version + 1
		c.applyNote(body.Note)
	case GrantKey:
		if err := validateGrant(c, body.Grant); err != nil {
			return err
		}
		c.Grants[body.Grant.Digest] = body.Grant
	case WithdrawKey:
		digest, ok := c.grantDigest(body.GrantID)
		if !ok {
			return wrapf(ErrInvalid, "key %q is not granted", body.GrantID)
		}
		delete(c.Grants, digest)
	default:
		return wrapf(ErrInvalid, "change of type %T", body)
	}
	c.Version++
	return nil
}

func (c *Configuration) clone() *Configuration {
	return &Configuration{
		Version:     c.Version,
		NoteVersion: c.NoteVersion,
		Models:      maps.Clone(c.Models),
		Adapters:    maps.Clone(c.Adapters),
		Newest:      maps.Clone(c.Newest),
		Services:    maps.Clone(c.Services),
		Workspaces:  maps.Clone(c.Workspaces),
		Grants:      maps.Clone(c.Grants),
	}
}

func (c *Configuration) grantDigest(id string) (string, bool) {
	for digest, grant := range c.Grants {
		if grant.ID == id {
			return digest, true
		}
	}
	return "", false
}

// applyNote applies a validated note to c, which must be a private copy.
func (c *Configuration) applyNote(note Note) {
	for _, entry := range note.Models {
		key := Key(entry.Name, entry.Version)
		if entry.Action == Withdraw {
			delete(c.Models, key)
			c.removeNewest(entry.Name, key)
			continue
		}
		c.Models[key] = entry.Model
		c.updateNewest(entry.Name, key)
	}
	for _, entry := range note.Adapters {
		key := Key(entry.Name, entry.Version)
		if entry.Action == Withdraw {
			delete(c.Adapters, key)
			c.removeNewest(entry.Name, key)
			continue
		}
		c.Adapters[key] = entry.Adapter
		c.updateNewest(entry.Name, key)
	}
	for _, entry := range note.Services {
		putOrDelete(c.Services, entry.Action, entry.Name, entry.Service)
	}
	for _, entry := range note.Workspaces {
		putOrDelete(c.Workspaces, entry.Action, entry.Name, entry.Workspace)
		if entry.Action == Withdraw {
			c.deleteGrants(entry.Name)
		}
	}
}

func putOrDelete[V any](entries map[string]V, action Action, name string, value V) {
	if action == Withdraw {
		delete(entries, name)
		return
	}
	entries[name] = value
}

// updateNewest makes key the newest version of name if its version is higher.
func (c *Configuration) updateNewest(name, key string) {
	if isNewer(key, c.Newest[name]) {
		c.Newest[name] = key
	}
}

// removeNewest selects the newest of the remaining versions of name after key
// was withdrawn. Numbers in versions are compared numerically, so that 10 is
// newer than 9.
func (c *Configuration) removeNewest(name, key string) {
	if c.Newest[name] != key {
		return
	}
	delete(c.Newest, name)
	for other, model := range c.Models {
		if model.Name == name {
			c.updateNewest(name, other)
		}
	}
	for other, adapter := range c.Adapters {
		if adapter.Name == name {
			c.updateNewest(name, other)
		}
	}
}

// isNewer reports whether the version of a key is higher than that of another
// key. Consecutive digits are compared as one number.
func isNewer(key, other string) bool {
	for key != "" && other != "" {
		a, b := leadingRun(key), leadingRun(other)
		key, other = key[len(a):], other[len(b):]
		if a == b {
			continue
		}
		if isDigit(a[0]) && isDigit(b[0]) {
			a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
			if len(a) != len(b) {
				return len(a) > len(b)
			}
		}
		if a != b {
			return a > b
		}
	}
	return key != ""
}

// leadingRun returns the longest prefix of text that consists either of digits
// only or of other characters only. The text must not be empty.
func leadingRun(text string) string {
	end := 1
	for end < len(text) && isDigit(text[end]) == isDigit(text[0]) {
		end++
	}
	return text[:end]
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func (c *Configuration) deleteGrants(workspace string) {
	for digest, grant := range c.Grants {
		if grant.Workspace == workspace {
			delete(c.Grants, digest)
		}
	}
}
